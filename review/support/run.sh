# Runs the program of a case: sourced by run.sh of the case, which sets "folder". Exits with 0, 1 or 2 as the case does.
root=$(cd "$folder/../.." && pwd)
number=$(basename "$folder")
REVIEW_PROGRAM=$root/target/snipeferry-gateway
case_program=$root/review/build/review-case-$number
if [ ! -x "$REVIEW_PROGRAM" ] || [ ! -x "$case_program" ]; then
    echo "could not run: build target/ and review/build.sh first"
    exit 2
fi
REVIEW_TEMP=$(mktemp -d)
REVIEW_RECORD=$folder/record.txt
export REVIEW_PROGRAM REVIEW_TEMP REVIEW_RECORD
case_pid=
# The case ends its processes itself; this is for the case that it was ended before.
cleanup() {
    if [ -n "$case_pid" ]; then kill "$case_pid" 2>/dev/null; fi
    for pid in $(cat "$REVIEW_TEMP/pids" 2>/dev/null); do
        if tr '\0' '\n' 2>/dev/null <"/proc/$pid/environ" | grep -qF "SNIPEFERRY_CONFIG=$REVIEW_TEMP/"; then kill -KILL "$pid"; fi
    done
    if [ -n "${KEEP_LOGS:-}" ]; then cp "$REVIEW_TEMP"/*.log "$KEEP_LOGS"/; fi
    rm -rf "$REVIEW_TEMP"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
"$case_program" &
case_pid=$!
status=0
wait "$case_pid" || status=$?
case_pid=
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
