#!/usr/bin/env bash
# Checks the formatting of all C++ sources, or of those that differ from REVISION, and lints those that are not tests.
# Usage: scripts/lint.sh [--format-only] [REVISION]
set -euo pipefail
cd "$(dirname "$0")/.."
format_only=no
if [ "${1:-}" = --format-only ]; then
    format_only=yes
    shift
fi
if [ $# -gt 0 ]; then
    mapfile -t files < <(git diff --name-only --diff-filter=d "$1" -- 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h')
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h')
fi
[ ${#files[@]} -eq 0 ] && exit 0
clang-format --dry-run -Werror "${files[@]}"
[ "$format_only" = yes ] && exit 0
[ -f build/compile_commands.json ] || cmake --preset release >/dev/null
sources=()
for file in "${files[@]}"; do
    case "$file" in *_test.cpp) ;; *.cpp) sources+=("$file") ;; esac
done
[ ${#sources[@]} -eq 0 ] && exit 0
printf '%s\0' "${sources[@]}" | xargs -0 -P "$(nproc)" -n 1 clang-tidy --quiet -p build 2> >(grep -v 'warnings generated\|^$' >&2)
echo "lint: ${#files[@]} files formatted, ${#sources[@]} sources clean"
