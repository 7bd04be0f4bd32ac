#!/bin/sh
# Case 3: a gateway with [grpc] and cancel = false, before one backend that streams its answers. Some clients leave in
# the middle of theirs. Exits with 1 if the gateway crashed or a client that stayed has no whole answer, 0 if not, 2 if
# the case could not run. TROUBLE=0: no client leaves.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
temp=$(mktemp -d) || exit 2
gateway=
finish() {
	if [ -n "$gateway" ]; then
		kill "$gateway" 2>/dev/null
		wait "$gateway" 2>/dev/null
	fi
	rm -rf "$temp"
}
trap finish EXIT
trap 'exit 2' INT TERM
# shellcheck disable=SC2046 # one word a port
set -- $(review/bin/ports 0 1 2)
[ $# -eq 3 ] || exit 2
cat >"$temp/shop.toml" <<END
listen = "127.0.0.1:$1"

[door]
protocol = "grpc"
cancel = false

[[class]]
name = "stock-lookup"
deadline = "4s"
aim = "2s"

[[plan]]
name = "everyone"

[[backend]]
name = "node-1"
address = "127.0.0.1:$3"

[grpc]
listen = "127.0.0.1:$2"

[[grpc.method]]
name = "/shop.Stock/List"
class = "stock-lookup"
streaming = true
END
sh -c "trap '' HUP; exec bin/pumicecroft serve $temp/shop.toml" >"$temp/log" 2>&1 &
gateway=$!
tries=0
until grep -q "serving" "$temp/log"; do
	tries=$((tries + 1))
	if [ $tries -gt 100 ]; then
		cat "$temp/log" >&2
		exit 2
	fi
	sleep 0.1
done
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
review/bin/stream -gateway "127.0.0.1:$2" -backend "127.0.0.1:$3" -trouble=$trouble -record "$here/record.txt"
code=$?
if [ $code -ne 2 ] && ! kill -0 "$gateway" 2>/dev/null; then
	echo "BROKEN: the gateway has crashed:" | tee -a "$here/record.txt"
	grep -v "level=" "$temp/log" | head -20 | tee -a "$here/record.txt"
	code=1
fi
exit $code
