#!/bin/sh
# Case 3: a gateway with [keys] before six backends, one of which hangs for 8 s. Exits with 1 if a key ran twice, 0 if
# none did, 2 if the case could not run. TROUBLE=0: no backend hangs.
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
set -- $(review/bin/ports 0 1 2 3 4 5 6)
[ $# -eq 7 ] || exit 2
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

[door]
max_retry_after = "500ms"

[[service]]
name = "shop"
backends = [$quoted]

[[class]]
name = "shop"
deadline = "2s"
aim = "1s"
group = "all"
key_window = "5s"

[[plan]]
name = "everyone"
rate = 100
burst = 200

[keys]
keep = "1m"
keep_doubt = "1m"
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
review/bin/keys -gateway "$listen" -backends "$servers" -trouble=$trouble -record "$here/record.txt"
code=$?
if ! kill -0 "$gateway" 2>/dev/null; then
	echo "the gateway has ended" >&2
	exit 2
fi
exit $code
