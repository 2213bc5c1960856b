# Read by the run.sh of each case, with its folder in $here: starts the case's program from the repository's root. The courier is
# started by the command of the deploy file.
cd "$here/../.."
number=$(basename "$here")
program=target/review-2/case-$number
[ -x "$program" ] && [ -x target/release/meadowhold ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
CASE_RUN=$(sed -n 's/^run = "\(.*\)".*$/\1/p' deploy/balancer.toml)
export CASE_RUN CASE_FOLDER=$here
status=0
timeout -k 5 118 "$program" || status=$?
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
