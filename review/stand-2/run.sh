# Read by the run.sh of each case, with its folder in $here: starts the case's program from the repository's root, with a temporary
# folder of its own. The courier is started by the command of the deploy file, in the process group of `timeout`, which ends all of it.
cd "$here/../.."
number=$(basename "$here")
program=target/review-2/case-$number
[ -x "$program" ] && [ -x target/release/meadowhold ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
CASE_RUN=$(sed -n 's/^run = "\(.*\)".*$/\1/p' deploy/balancer.toml)
CASE_FOLDER=$here
TMPDIR=$(mktemp -d)
export CASE_RUN CASE_FOLDER TMPDIR
timeout -k 5 113 "$program" &
player=$!
# What is left of the group, and the folder.
clean() {
    kill -KILL -- "-$player" 2>/dev/null
    wait "$player" 2>/dev/null
    rm -rf "$TMPDIR"
}
trap 'exit 2' TERM INT HUP
trap clean EXIT
status=0
wait "$player" || status=$?
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
