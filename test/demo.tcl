# Demo: starts a fleet from examples/tadla.conf and runs a load through all
# hosts, then the same load while a primary and a daemon are killed.

source [file join [file dirname [info script]] lib fleet.tcl]

# Prints the results of a load by kind. The gap is the longest time without a done
# request.
proc show {title result} {
    puts "\n$title"
    puts [format "  %-10s %7s %7s %7s %8s %9s %9s %8s" kind sent done notrun \
        unknown "p50 ms" "p99 ms" "gap ms"]
    dict for {kind results} [dict get $result kinds] {
        dict with results {
            puts [format "  %-10s %7d %7d %7d %8d %9.2f %9.2f %8.1f" $kind \
                $sent $done $notrun $unknown $p50_ms $p99_ms $gap_ms]
        }
    }
}

proc demo {} {
    set mix "payment:write:30,reading:write:60,balance:read:200"
    puts "starting 1 platform, 9 endpoints and 16 daemons on loopback"
    fleet -conf [file join $fleet::root examples tadla.conf] -hosts 16 \
        -centres {bm-centre fquih-bensalah kasba-tadla azilal} -service 5 \
        -connect 12
    puts [ctl status]

    start_load baseline -mix $mix -seconds 5 -warmup 1 -sessions 120
    set baseline [load_result baseline]
    show "no failures; callers use another host for each request:" $baseline

    start_load failures -mix $mix -seconds 8 -warmup 1 -sessions 120
    after 2500
    set primary [primary_of billing-1]
    puts "\nkilling the primary $primary"
    kill $primary
    after 2000
    set owner [owner_of customers]
    puts "killing the daemon $owner, the owner of customers"
    kill $owner
    set failures [load_result failures]
    show "with a primary and a daemon killed:" $failures

    puts "\n[ctl explain billing-1]"
    check_history
    puts "\nchecked: each acknowledged write is in the primary's log once, each\
        answer belongs to its request, each session read its own writes"
    dict for {kind results} [dict get $failures kinds] {
        if {[dict get $results done] == 0} {
            error "no request of kind $kind was done"
        }
        # The users' limit of 19 s.
        if {[dict get $results gap_ms] > 19000} {
            error "no service for $kind for [dict get $results gap_ms] ms"
        }
    }
}

set fleet::block 20
set code [catch {demo} message]
fleet::kill_all
if {$code} {
    puts "demo: failed: $message"
    exit 1
}
puts "demo: ok"
