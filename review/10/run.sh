#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/.venv/bin/python" ] || exit 2
cd "$root" || exit 2
PYTHONPATH="$root/review" exec "$root/.venv/bin/python" "$here/case.py"
