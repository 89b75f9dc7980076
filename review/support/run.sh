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
status=0
"$case_program" || status=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp "$REVIEW_TEMP"/*.log "$KEEP_LOGS"/; fi
rm -rf "$REVIEW_TEMP"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
