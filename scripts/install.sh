#!/usr/bin/env bash
# Installs the missing ones of the packages that the build and the tests need. Requires root or sudo.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
missing=()
while read -r package; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done <"$here/packages.txt"
[ ${#missing[@]} -eq 0 ] && exit 0
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
