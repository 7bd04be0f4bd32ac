#!/bin/sh
# Case 2: a gateway of ordinary HTTP whose route of payments is unsafe, before two backends. The connection of one in ten
# payments is reset after it has run. Exits with 1 if a payment ran twice, 0 if none did, 2 if the case could not run.
# TROUBLE=0: no connection is reset.
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

[[service]]
name = "shop"
backends = ["127.0.0.1:$2", "127.0.0.1:$3"]

[[class]]
name = "shop"
effect = "safe"
deadline = "2s"
aim = "1s"

[[route]]
path = "/items/{id}"

[[route]]
path = "/pay"
methods = ["POST"]
effect = "unsafe"
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
review/bin/payments -gateway "127.0.0.1:$1" -backends "127.0.0.1:$2,127.0.0.1:$3" -trouble=$trouble \
	-record "$here/record.txt"
code=$?
if ! kill -0 "$gateway" 2>/dev/null; then
	echo "the gateway has ended" >&2
	exit 2
fi
exit $code
