#!/bin/sh
# run.sh TREE BUILT SCENARIO E H RUNS [ARGUMENT]: runs a trial against the
# daemon of TREE, one run after the other. BUILT is the directory of build.sh;
# records and logs go to BUILT/rec. ARGUMENT: one more of the daemon.
# LOW=1: few clients. TAIL, RET, HOSTS: see case.c.
tree=$1 built=$(cd "$2" && pwd) scenario=$3 e=$4 h=$5 runs=$6
[ -n "${7:-}" ] && export EXTRA_ARG="$7"
cd "$tree" || exit 2
for i in $(seq "$runs"); do
    out=$built/rec/$scenario-E$e-H$h-$(date +%H%M%S)-$$-$i
    mkdir -p "$out"
    KEEP=1 TMPDIR=$out RECORD=$out/record.txt SCN=$scenario E=$e H=$h \
        timeout -k 2 60 "$built/trial" >/dev/null 2>&1
    echo "$tree rc=$? $(grep -h -o 'SUMMARY.*' "$out/record.txt") $out"
done
