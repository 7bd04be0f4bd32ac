#!/bin/sh
# Case 3: a gateway of ordinary HTTP before eight backends that speak HTTP/2 and send trailers, of which one fails with
# status 500. Exits with 1 if a client has no whole answer in time, 0 if all have one, 2 if the case could not run.
# TROUBLE=0: no backend fails.
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
set -- $(review/bin/ports 0 1 2 3 4 5 6 7 8)
[ $# -eq 9 ] || exit 2
listen=127.0.0.1:$1
shift
servers=
quoted=
for port in "$@"; do
	servers=$servers${servers:+,}127.0.0.1:$port
	quoted="$quoted${quoted:+, }\"127.0.0.1:$port\""
done
cat >"$temp/shop.toml" <<END
listen = "$listen"

[[service]]
name = "shop"
speaks = "h2"
backends = [$quoted]

[[class]]
name = "shop"
deadline = "2s"
aim = "1s"
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
review/bin/trailers -gateway "$listen" -backends "$servers" -trouble=$trouble -record "$here/record.txt"
code=$?
if ! kill -0 "$gateway" 2>/dev/null; then
	echo "the gateway has ended" >&2
	exit 2
fi
exit $code
