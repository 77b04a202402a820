#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
# Writes record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
[ -f platform/target/wigeonward-platform.jar ] && [ -f platform/target/gateway.jsa ] && [ -d review/.target ] || {
  echo "run the build of the deploy file and review/build.sh first" >&2
  exit 2
}
export TROUBLE="${TROUBLE:-1}"
timeout -k 10 110 java -Xmx768m -cp review/.target Case2 review/2 &
play=$!
trap 'kill "$play"' TERM INT
wait "$play"
code=$?
while kill -0 "$play" 2>/dev/null; do
  wait "$play"
  code=$?
done
[ "$code" -le 1 ] || code=2
exit "$code"
