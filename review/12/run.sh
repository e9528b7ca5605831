#!/bin/bash
# Starts three machines of carobwind by the command of deploy/system.toml before a stand-in, see
# review/12/case.c. Exits with 1 if STALE was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0: without the disruptions.
trouble=12
[ "${TROUBLE:-1}" = 0 ] && trouble=0
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
daemon=target/bin/carobwindd
standin=target/review-3/case-12
[ -x "$daemon" ] && [ -x "$standin" ] || { echo "not built"; exit 2; }
net=127.$((16 + $$ / 250 % 200)).$((1 + $$ % 250))
work=$(mktemp -d)
pids=
finish() {
    [ -n "$pids" ] && kill -9 $pids 2>/dev/null
    wait 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT
"$standin" "$net" "$here/record.txt" "$trouble" &
judge=$!
pids=$judge
sleep 0.2
for i in 1 2 3; do
    "$daemon" --name=m$i --data-centre=z$i --region=r --regions='{"z1":"r","z2":"r","z3":"r"}' \
        --callers=$net.$i:7000 --peers=$net.$i:7100 --join=$net.1:7100,$net.2:7100,$net.3:7100 \
        --platform=$net.100:7300 --orders=$net.100:7300 --readiness=$net.$i:7200 \
        --caller-driver=wire --endpoint-driver=wire --store-driver=kv \
        --registry-driver=platform --order-driver=duty --drain-seconds=5 \
        --endpoint-drain-ms=7000 --memory-limit=182 --descriptor-limit=3010 \
        > "$work/m$i.log" 2>&1 &
    pids="$pids $!"
    disown $!
done
wait $judge
status=$?
{ echo; echo "what the owners decided:"; grep -h event=decision "$work"/m*.log | sort; } \
    >> "$here/record.txt"
exit $status
