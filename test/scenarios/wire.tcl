# The daemon on the platform's protocols, served by a stand-in: sessions,
# transactions, failover, graceful shutdown and outages of the store.

namespace eval wire {
    variable control_channel ""
    variable query_number 0 ;# last query sent
    variable key_number 0 ;# last key written by a load
    variable daemon_flags {} ;# additional flags of the hosts
    variable caller_driver wire ;# of hosts that start
    variable regions {} ;# of the data centres, for hosts that start; empty: none
}

set wire::config {{"version":1,"routes":[{"name":"r1","database":"pay","routeType":"primary","timeoutMs":1500,"targetLatencyMs":0,"priority":0,"service":"svc1"},{"name":"r2","database":"own","routeType":"read_your_writes","timeoutMs":1500,"targetLatencyMs":0,"priority":1,"service":"svc1","maxStalenessMs":2000},{"name":"r4","database":"rush","routeType":"primary","timeoutMs":1500,"targetLatencyMs":100,"priority":2,"service":"svc1"},{"name":"r3","database":"old","routeType":"bounded_staleness","timeoutMs":1500,"targetLatencyMs":0,"priority":2,"service":"svc1","maxStalenessMs":1500}],"services":[{"name":"svc1","maxConns":40,"syncReplicas":0}],"limits":{"idleTxMs":3000}}}

proc wire::network {} {
    return 127.$fleet::block
}

# Runs a command of the stand-in's control connection and returns its answer.
proc wire::control {args} {
    variable control_channel
    puts $control_channel [join $args " "]
    flush $control_channel
    return [gets $control_channel]
}

# Starts the stand-in and `count` hosts, which join through the address
# `join_address`, by default that of host1. `prepare` is evaluated before the
# hosts start.
proc wire::fleet {{count 3} {join_address ""} {prepare ""}} {
    variable control_channel
    variable config
    set fleet::dir [file join $fleet::root build test-run-$fleet::block]
    file delete -force $fleet::dir
    file mkdir $fleet::dir
    set pid [exec tclsh [file join $fleet::root test lib platform_standin.tcl] \
        [network] >& [fleet::log_file standin] &]
    fleet::track standin $pid
    fleet::wait_port [network].9.1:7399 standin
    set control_channel [socket [network].9.1 7399]
    control config $config
    eval $prepare
    set zones {north south west}
    if {$join_address eq ""} {
        set join_address [network].1.1:7100
    }
    for {set i 1} {$i <= $count} {incr i} {
        start_host host$i host$i $i [lindex $zones [expr {($i - 1) % 3}]] \
            $join_address
    }
    for {set i 1} {$i <= $count} {incr i} {
        eventually {[wire::is_ready host$i]} 8000
    }
}

# Returns the flags that tell a host of a data centre the regions.
proc wire::region_flags {zone} {
    variable regions
    if {[dict size $regions] == 0} {
        return {}
    }
    set pairs {}
    dict for {name region} $regions {
        lappend pairs "\"$name\":\"$region\""
    }
    return [list --region=[dict get $regions $zone] \
        "--regions={[join $pairs ,]}"]
}

# Starts a process of the fleet, a host that is called `name`, at the address of
# a number.
proc wire::start_host {process name number zone join_address} {
    variable daemon_flags
    variable caller_driver
    set ip [network].1.$number
    dict set fleet::settings $process [dict create program carobwindd \
        address $ip:7000 arguments [list --name=$name --data-centre=$zone \
        --callers=$ip:7000 --peers=$ip:7100 --readiness=$ip:7200 \
        --metrics=$ip:7201 --platform=[network].9.1:7300 \
        --orders=[network].9.1:7300 --join=$join_address \
        --caller-driver=$caller_driver --endpoint-driver=wire --store-driver=kv \
        --registry-driver=platform --order-driver=duty --drain-seconds=5 \
        {*}$daemon_flags {*}[region_flags $zone]]]
    start $process
}

# Returns the answer to a GET request to a host, or "" if it does not listen.
proc wire::http_get {host port path} {
    if {[catch {socket [fleet::ip $host] $port} channel]} {
        return ""
    }
    fconfigure $channel -translation binary
    puts -nonewline $channel "GET $path HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    flush $channel
    set text [read $channel]
    close $channel
    return $text
}

proc wire::is_ready {host} {
    return [string match "HTTP/1.1 200*" [http_get $host 7200 /carobwind/ready]]
}

# Starts a session. Returns its channel and the answer.
proc wire::start_session {host database key} {
    set channel [socket [fleet::ip $host] 7000]
    fconfigure $channel -translation crlf -buffering line
    puts $channel "STARTUP $database $key"
    return [list $channel [gets $channel]]
}

# Opens a session. Returns its channel.
proc wire::connect {host database {key tester}} {
    lassign [start_session $host $database $key] channel line
    if {![string match "READY I *" $line]} {
        error "session not started: $line"
    }
    return $channel
}

# Runs a statement. Returns a list: outcome (done, an error code, or closed if
# the connection closed), rows, transaction state.
proc wire::query {channel text} {
    variable query_number
    puts $channel "QUERY t[incr query_number] $text"
    set rows {}
    set outcome closed
    while {[gets $channel line] >= 0} {
        switch -- [lindex $line 0] {
            DATAROW { lappend rows [lindex $line 1] }
            COMPLETE { set outcome done }
            ERROR { set outcome [lindex $line 1] }
            READY { return [list $outcome $rows [lindex $line 1]] }
        }
    }
    return [list closed $rows -]
}

# Returns the id of the last query.
proc wire::last_query_id {} {
    variable query_number
    return t$query_number
}

scenario wire-statements \
    "sessions, prepared statements, transactions and error codes" {
    wire::fleet
    set a [wire::connect host1 pay]
    set b [wire::connect host2 own]
    set c [wire::connect host3 old]
    expect {[wire::query $a "SET zone a b"] eq {done {} I}}
    expect {[wire::query $a "PREPARE s1 WRITE q"] eq {done {} I}}
    expect {[wire::query $b "PREPARE s1 READ q"] eq {done {} I}}
    expect {[wire::query $a "EXECUTE s1 k1 v1"] eq {done {} I}}
    set written [wire::last_query_id]
    expect {[wire::query $a "READ k1"] eq {done v1 I}}
    expect {[wire::query $b "WRITE k2 v2"] eq {done {} I}}
    expect {[wire::query $b "EXECUTE s1 k2"] eq {done v2 I}}
    expect {[lindex [wire::query $c "READ k1"] 0] eq "done"}
    # A transaction that commits, then one that rolls back.
    foreach {end value} {COMMIT w1 ROLLBACK w2} {
        expect {[wire::query $a "BEGIN"] eq {done {} T}}
        expect {[wire::query $a "WRITE k3 $value"] eq {done {} T}}
        # The stand-in applies a transaction's writes at COMMIT: its own reads don't
        # return them.
        expect {[wire::query $a "READ k3"] eq [list done [expr {$end eq "COMMIT" ? "none" : "w1"}] T]}
        expect {[wire::query $a $end] eq {done {} I}}
    }
    expect {[wire::query $a "READ k3"] eq {done w1 I}}
    expect {[wire::query $c "BEGIN READ"] eq {done {} T}}
    expect {[lindex [wire::query $c "READ k1"] 0] eq "done"}
    expect {[lindex [wire::query $c "WRITE k1 x"] 0] eq "READONLY"}
    expect {[wire::query $c "READ k1"] eq {MALFORMED {} E}}
    expect {[wire::query $c "COMMIT"] eq {ABORTED {} I}}
    # Statements that are malformed or name something that does not exist.
    foreach {text code} {
        "DROP k" MALFORMED "EXECUTE s9 k" NOSTMT "COMMIT" MALFORMED
        "AFTER 1.1 READ k" MALFORMED "STATUS" MALFORMED "READ" MALFORMED
    } {
        expect {[wire::query $b $text] eq [list $code {} I]} $text
    }
    expect {[catch {wire::connect host1 nowhere} why]}
    expect {[string match "*NODB*" $why]} $why
    # Session variables apply to the statements of their session only.
    foreach run [wire::control runs] {
        lassign $run id command - variables
        if {$id eq $written} {
            expect {$variables eq {zone {a b}}} $run
        }
        if {$command eq "READ"} {
            expect {$variables eq {} || $variables eq {zone {a b}}} $run
        }
    }
    set metrics [wire::http_get host1 7201 /metrics]
    expect {[string match "*carobwind_requests_total*" $metrics]}
    expect {[regexp {carobwind_request_seconds_count\{rank="0"\} \d+} $metrics]}
    expect {[regexp {carobwind_peer_bytes_by_kind_total\{kind="probe",direction="received",place="(inside|outside)"\} [1-9]} $metrics]}
    expect {[regexp {carobwind_store_calls_by_verb_total\{verb="hosts"\} [1-9]} $metrics]}
}

# Guards against texts and ids of callers over RESP that end a wire message, and
# against statements that change an endpoint or a connection behind the driver.
scenario wire-resp-callers "callers over RESP before endpoints of the wire" {
    set wire::caller_driver resp
    try {
        wire::fleet 1
    } finally {
        set wire::caller_driver wire
    }
    set address [fleet::ip host1]:7000
    foreach {text id outcome} [list \
        "WRITE k1 v1" a1 done \
        "WRITE k1 v2\r\nQUERY b1 WRITE k2 v" a2 notrun \
        "WRITE k1 v3\nQUERY b2 WRITE k2 v" a3 notrun \
        "WRITE k1 v4\0" a4 notrun \
        "WRITE k1 v5" "a5 READ k1\r\nQUERY b3" notrun \
        "WRITE k1 v6" "a6 WRITE k2" notrun \
        "SET a b" a7 notrun \
        "BEGIN" a8 notrun \
        "STEPDOWN 99" a9 notrun \
        "WRITE k1 v7 \r" a10 done \
    ] {
        set answer [resp::call $address [list STMT svc1 pay $text TRACE $id]]
        expect {[lindex $answer 0] eq $outcome} "$text: $answer"
    }
    expect {[lmap run [wire::control runs] {lindex $run 0}] eq {a1 a10}}
}

# Returns whether the host has closed an idle session. Discards what the host has
# sent.
proc wire::is_closed {channel} {
    fconfigure $channel -blocking 0
    read $channel
    set closed [eof $channel]
    fconfigure $channel -blocking 1
    return $closed
}

# Writes through host1 to host3 for `seconds` and runs `body` after the first
# second.
# Returns two dictionaries: key to outcome, and query id to key.
proc wire::write_under_load {seconds body} {
    set channels {}
    foreach host {host1 host2 host3} {
        lappend channels $host ""
    }
    set outcomes [dict create]
    set ids [dict create]
    set begin [clock milliseconds]
    set body_done 0
    variable key_number
    while {[clock milliseconds] - $begin < $seconds * 1000} {
        if {!$body_done && [clock milliseconds] - $begin > 1000} {
            uplevel 1 $body
            set body_done 1
        }
        foreach {host channel} $channels {
            if {$channel ne "" && [is_closed $channel]} {
                close $channel
                set channel ""
            }
            if {$channel eq "" && (![is_ready $host] ||
                [catch {connect $host pay} channel])} {
                dict set channels $host ""
                set channel ""
                continue
            }
            set key s[incr key_number]
            if {[catch {query $channel "WRITE $key $key"} answer] ||
                [lindex $answer 0] eq "closed"} {
                catch {close $channel}
                set channel ""
                dict set outcomes $key closed
            } else {
                dict set outcomes $key [lindex $answer 0]
            }
            dict set ids [last_query_id] $key
            dict set channels $host $channel
        }
        after 5
        update
    }
    return [list $outcomes $ids]
}

# Checks the outcomes of writes against the log of the primary: no write is in
# it twice, no refused write is in it (these codes say that the write was not
# executed; INDOUBT says that it may have been), and each acknowledged write is,
# unless `lost_allowed`.
proc wire::check_writes {outcomes lost_allowed} {
    set log [control log [control primary]]
    set counts [dict create]
    foreach entry $log {
        dict incr counts [lindex $entry 1]
    }
    dict for {key outcome} $outcomes {
        set count [expr {[dict exists $counts $key] ? [dict get $counts $key] : 0}]
        expect {$count <= 1} "$key is in the log $count times"
        if {$outcome in {BUSY ABORTED LAGGING READONLY}} {
            expect {$count == 0} "$key was refused but is in the log"
        }
        if {$outcome eq "done" && !$lost_allowed} {
            expect {$count == 1} "$key was acknowledged but is lost"
        }
    }
}

scenario wire-primary-killed \
    "the primary is killed under load; a replica is promoted" {
    wire::fleet
    lassign [wire::write_under_load 5 { wire::control kill e-1 }] outcomes
    expect {[wire::control primary] in {e-2 e-3}}
    # Replication is asynchronous: writes that only the primary held are lost.
    wire::check_writes $outcomes 1
    set late [lrange [dict values $outcomes] end-20 end]
    expect {[lsort -unique $late] eq "done"} $late
}

# Under load, the registration of the primary e-1 is removed, and e-1 does not notice
# that e-2 is promoted. It is registered again, and after `pause` ms e-2 is killed. No
# write that e-1 committed after that promotion may be acknowledged, and e-1 must
# serve once it has been promoted.
proc wire::replace_unlisted_primary {pause} {
    fleet
    control kill e-3
    control withdraw e-3
    lassign [write_under_load 9 {
        control unaware 1
        control withdraw e-1
        eventually {[wire::control primary] eq "e-2"} 6000
        after 500 ;# until the owner has noticed that e-2 leads
        control register e-1
        after $pause
        control kill e-2
    }] outcomes
    # Replication is asynchronous: e-2's own writes are lost.
    check_writes $outcomes 1
    foreach key [control late] {
        expect {[dict get $outcomes $key] ne "done"} "$key is acknowledged"
    }
    expect {[control primary] eq "e-1"}
    expect {[lindex [dict values $outcomes] end] eq "done"}
}

scenario wire-primary-returns \
    "an unaware replaced primary is registered again as its successor is killed" {
    wire::replace_unlisted_primary 0
}

scenario wire-primary-steps-down \
    "an unaware replaced primary returns before its successor is killed" {
    wire::replace_unlisted_primary 600
}

# Isolates and stops an endpoint: it returns with the log that it has now.
proc wire::stop_with_log {endpoint} {
    control isolate $endpoint 1
    control kill $endpoint
}

# Returns the keys in the log of one endpoint that another one's log lacks.
proc wire::log_difference {endpoint other} {
    set keys [lmap entry [control log $other] { lindex $entry 1 }]
    return [lmap entry [control log $endpoint] {
        if {[lindex $entry 1] in $keys} continue
        lindex $entry 1
    }]
}

# Expects that e-3 leads in the end, and that there was no primary at `idle`.
proc wire::check_log_of_e3 {outcomes idle} {
    expect {$idle eq ""} "promoted: $idle"
    expect {[control primary] eq "e-3"}
    expect {[lindex [dict values $outcomes] end] eq "done"}
    check_writes $outcomes 1
}

# The primary e-1 is stopped while e-2 receives nothing, and e-2, promoted, as e-1 is
# back: the log of e-1 alone is left, and has discarded entries. e-3 is stopped first.
proc wire::leave_discarded_log {} {
    stop_with_log e-3
    after 200 { wire::control isolate e-2 1 }
    after 900 { wire::stop_with_log e-1 }
    after 3500 {
        wire::control kill e-2
        wire::control start e-1
    }
}

scenario wire-discarded-log-alone \
    "an endpoint whose last entries a promotion discarded is the first to return" {
    wire::fleet
    # e-3 lacks what e-2 acknowledged: it is promoted once e-2 has been awaited
    # for 10 s.
    lassign [wire::write_under_load 18 {
        wire::leave_discarded_log
        after 7000 {
            set ::idle_primary [wire::control primary]
            wire::control start e-3
        }
    }] outcomes
    wire::check_log_of_e3 $outcomes $::idle_primary
    expect {[llength [wire::log_difference e-1 e-2]] > 0}
}

# Runs the operators' tool against host1. Returns its output or error.
proc wire::tool {args} {
    set failed [catch {exec [file join $fleet::bin carobwindctl] \
        --host=[network].1.1:7100 {*}$args 2>@1} output]
    return [expr {$failed ? [lindex [split $output "\n"] 0] : $output}]
}

scenario wire-accept-loss \
    "only a log with discarded entries is left: it leads by an operator's order alone" {
    wire::fleet
    lassign [wire::write_under_load 26 {
        wire::leave_discarded_log
        after 22000 {
            set ::idle_primary [wire::control primary]
            set ::explained [wire::tool explain svc1]
            set ::refused [wire::tool accept-loss svc1 e-2]
            set ::accepted [wire::tool accept-loss svc1 e-1]
        }
    }] outcomes
    expect {$::idle_primary eq ""} "promoted: $::idle_primary"
    expect {[regexp {best_log +e-1} $::explained]} $::explained
    expect {$::refused eq "carobwindctl: the best log is that of e-1"} $::refused
    expect {$::accepted eq "e-1 may be promoted with losses"} $::accepted
    expect {[wire::control primary] eq "e-1"}
    expect {[lindex [dict values $outcomes] end] eq "done"}
    expect {"INDOUBT" ni [lrange [dict values $outcomes] end-20 end]}
}

scenario wire-older-branch \
    "after two promotions, the endpoints that return were cut back by one each" {
    wire::fleet
    lassign [wire::write_under_load 15 {
        foreach endpoint {e-2 e-3} { wire::control isolate $endpoint 1 }
        after 300 {
            wire::stop_with_log e-1
            wire::control isolate e-3 0
        }
        after 2500 { wire::control start e-1 }
        after 5000 { wire::control isolate e-3 1 }
        after 5500 { wire::stop_with_log e-2 }
        after 8000 {
            wire::control start e-2
            wire::stop_with_log e-3
        }
        after 11500 {
            set ::idle_primary [wire::control primary]
            wire::control start e-3
        }
    }] outcomes
    wire::check_log_of_e3 $outcomes $::idle_primary
    foreach endpoint {e-1 e-2} {
        expect {[llength [wire::log_difference $endpoint e-3]] > 0} $endpoint
    }
}

scenario wire-primary-leaves \
    "the primary leaves under load; no session is closed, no write lost" {
    wire::fleet
    lassign [wire::write_under_load 4 { wire::control leave e-1 }] outcomes
    eventually {[wire::control primary] in {e-2 e-3}} 3000
    wire::check_writes $outcomes 0
    expect {"closed" ni [dict values $outcomes]} [lsort -unique [dict values $outcomes]]
}

scenario wire-host-stops "SIGTERM to a host under load; sessions close between statements" {
    wire::fleet
    lassign [wire::write_under_load 6 { fleet::signal host1 TERM }] \
        outcomes
    wire::check_writes $outcomes 0
    foreach outcome [dict values $outcomes] {
        expect {$outcome in {done closed}} $outcome
    }
    # Sessions are closed between statements, so only a statement sent at the
    # moment of the close can fail.
    expect {[llength [lsearch -all [dict values $outcomes] closed]] <= 2}
}

scenario wire-store-away \
    "the store is down, then rejects requests; service continues" {
    wire::fleet
    lassign [wire::write_under_load 7 {
        wire::control store down
        after 3000 { wire::control store reject }
        after 4000 { wire::control store up }
    }] outcomes
    wire::check_writes $outcomes 0
    expect {[lsort -unique [dict values $outcomes]] eq "done"} \
        [lsort -unique [dict values $outcomes]]
}

scenario wire-answers-lost \
    "a write whose answer is lost is reported in doubt and executed once" {
    wire::fleet
    lassign [wire::write_under_load 4 { wire::control lose 12 }] outcomes
    wire::check_writes $outcomes 0
    set lost [lsearch -all -inline [dict values $outcomes] INDOUBT]
    expect {[llength $lost] == 12} [llength $lost]
}

scenario wire-cold-start \
    "nine hosts start at once; only a few read and watch the store" {
    wire::fleet 9
    after 3000
    # Three hosts watch the store and read two prefixes each. One of them repeats
    # one of these reads, but only four seconds later, after this check.
    expect {[wire::control lists] <= 3 * 2} [wire::control lists]
}

scenario wire-store-long-away \
    "the store is down for longer than a tenure; service continues" {
    wire::fleet
    lassign [wire::write_under_load 13 {
        wire::control store down
        after 11000 { wire::control store up }
    }] outcomes
    wire::check_writes $outcomes 0
    expect {[lsort -unique [dict values $outcomes]] eq "done"} \
        [lsort -unique [dict values $outcomes]]
}

scenario wire-flood \
    "writes that would wait longer than the latency target get BUSY and a delay" {
    wire::fleet
    set first [wire::connect host1 pay]
    eventually {[lindex [wire::query $first "WRITE first x"] 0] eq "done"} 5000
    set channels {}
    for {set i 0} {$i < 240} {incr i} {
        lappend channels [wire::connect host[expr {$i % 3 + 1}] rush]
    }
    set number 0
    foreach channel $channels {
        puts $channel "QUERY f[incr number] WRITE s$number x"
    }
    set outcomes [dict create]
    set number 0
    foreach channel $channels {
        set outcome closed
        while {[gets $channel line] >= 0 && ![string match "READY*" $line]} {
            set outcome [expr {[lindex $line 0] eq "ERROR" ? [lindex $line 1] : "done"}]
            set text $line
        }
        if {$outcome eq "BUSY"} {
            expect {[string match "*retry after*" $text]} $text
        }
        dict set outcomes s[incr number] $outcome
    }
    wire::check_writes $outcomes 0
    set counts [dict create]
    foreach outcome [dict values $outcomes] {
        dict incr counts $outcome
    }
    expect {[dict get $counts done] >= 4 && [dict get $counts BUSY] >= 20} $counts
    # carobwindctl reconstructs the history of a refused write from the logs, which
    # name a part of those that were refused.
    set logs [fleet::read_log host1]\n[fleet::read_log host2]\n[fleet::read_log host3]
    expect {[regexp {request=f(\d+) .*cause=busy} $logs -> number]} "none is logged"
    expect {[dict get $outcomes s$number] eq "BUSY"} $number
    set refused f$number
    set report [exec [file join $fleet::bin carobwindctl] incident $refused \
        {*}[glob [file join $fleet::dir host*.log]]]
    expect {[string match "*> *request=$refused *cause=busy*" $report]} $report
}

# Returns what carobwindctl finds in the logs about the request with an id.
proc wire::trace_incident {id} {
    return [exec [file join $fleet::bin carobwindctl] incident $id \
        {*}[glob [file join $fleet::dir host*.log]]]
}

# Follows the three examples of docs/OPERATIONS.md, where the id of a failed
# request leads to its cause by logs alone.
scenario wire-walks \
    "three failed requests are traced to their causes in the logs" {
    wire::fleet
    set a [wire::connect host1 pay]
    eventually {[lindex [wire::query $a "WRITE first x"] 0] eq "done"} 5000
    # The primary is killed with a write in flight: after 150 ms of the 400 ms that
    # it takes.
    wire::control work 400
    puts $a "QUERY walk-unknown WRITE k1 v1"
    after 150
    wire::control kill e-1
    expect {[string match "ERROR INDOUBT*" [gets $a]]}
    gets $a
    # During the failover, a write with a short latency target is refused with a
    # delay after which to retry.
    set b [wire::connect host2 rush]
    puts $b "QUERY walk-refused WRITE k2 v2"
    expect {[string match "ERROR BUSY*retry after*" [gets $b]]}
    gets $b
    # A configuration change removes a route with an open session. 3 ms is the
    # stand-in's service time at the start.
    wire::control work 3
    set c [wire::connect host3 old]
    eventually {[wire::control primary] in {e-2 e-3}} 5000
    wire::control config [string map {{"version":1} {"version":2} {"database":"old"} {"database":"new"}} $wire::config]
    eventually {[catch {wire::connect host3 old}]} 8000
    puts $c "QUERY walk-dropped READ k1"
    expect {[string match "ERROR NODB*" [gets $c]]}
    after 200
    set report [wire::trace_incident walk-unknown]
    expect {[string match "*request=walk-unknown *cause=indoubt*" $report]} $report
    expect {[string match "*endpoint e-1 is down*" $report]} $report
    expect {[string match "*primary is e-*" $report]} $report
    set report [wire::trace_incident walk-refused]
    # A decision of another host in the same millisecond may be listed later.
    expect {[string match "*endpoint e-1 is down*request=walk-refused *cause=busy*" $report]} $report
    expect {[string match "*promotion begins*" $report]} $report
    set report [wire::trace_incident walk-dropped]
    expect {[string match "*event=in-force version=2*request=walk-dropped *cause=nodatabase*" $report]} $report
}

# After a loss of power, the hosts through which the others join (seed hosts) may
# start last. The others must find each other in the store and serve meanwhile.
# Here no process listens on the join address.
scenario wire-seeds-down \
    "hosts find each other in the store without the seed host" {
    wire::fleet 3 [wire::network].1.9:7100
    set status ""
    eventually {[regexp -all {alive} [set status [exec \
        [file join $fleet::bin carobwindctl] \
        --host=[wire::network].1.1:7100 status]]] == 3} 3000
    set a [wire::connect host2 pay]
    eventually {[lindex [wire::query $a "WRITE k v"] 0] eq "done"} 3000
}

# Guards against a second answer on an idle connection to the store adding that
# connection to the idle list again, which crashes the daemon later. The soak
# covers the same fault with seed 35.
scenario wire-answers-twice "the store sends each answer twice" {
    wire::fleet
    wire::control twice 1
    lassign [wire::write_under_load 4 {}] outcomes
    wire::control twice 0
    lassign [wire::write_under_load 2 {}] late_outcomes
    wire::check_writes [dict merge $outcomes $late_outcomes] 0
    set late [lrange [dict values $late_outcomes] end-20 end]
    expect {[lsort -unique $late] eq "done"} $late
}

# A watch may miss a configuration change, which hosts must put in force
# nevertheless. The same fault occurs in deploy/days/compact-drain.toml.
scenario wire-deaf-watch \
    "watches miss a configuration change; hosts still put it in force" {
    wire::fleet
    after 4500
    # One host polls the record once a second, by its version.
    set reads [wire::control reads]
    expect {$reads <= 1} $reads
    wire::control deaf 1
    wire::control config [string map {{"version":1} {"version":2} {"database":"old"} {"database":"new"}} $wire::config]
    foreach host {host1 host2 host3} {
        eventually {![catch {wire::connect $host new}]} 3000
    }
}

# Another writer stores malformed entries among the registrations and replaces a
# tenure record. The daemons must keep running, follow later changes and serve.
scenario wire-odd-entries \
    "malformed registrations and tenure records; service continues" {
    wire::fleet
    after 1500
    lassign [wire::write_under_load 5 {
        wire::control deep servers/i-deep 100000
        wire::control odd servers/i-number {{{"service":"svc1","address":"127.0.0.1:80","zone":"north","slots":1e999,"state":"ready","dbRole":"primary"}}}
        wire::control odd servers/i-port {{{"service":"svc1","address":"127.0.0.1:99999","zone":"north","slots":3,"state":"ready","dbRole":"primary"}}}
        wire::control odd "{servers/i blank}" {{{"service":"svc1","address":"127.0.0.1:80","zone":"north","slots":3,"state":"ready","dbRole":"primary"}}}
        wire::control odd servers/i-empty {{}}
        # Together more than a response of the store that hosts read.
        for {set i 0} {$i < 5} {incr i} {
            wire::control long servers/i-long$i 1000000
        }
    }] outcomes
    wire::check_writes $outcomes 0
    expect {[lsort -unique [dict values $outcomes]] eq "done"} \
        [lsort -unique [dict values $outcomes]]
    wire::control config [string map {{"version":1} {"version":2} {"database":"old"} {"database":"new"}} $wire::config]
    foreach host {host1 host2 host3} {
        eventually {![catch {wire::connect $host new}]} 3000
    }
    # A later, valid registration takes effect.
    lassign [wire::write_under_load 4 { wire::control leave e-1 }] outcomes
    eventually {[wire::control primary] in {e-2 e-3}} 3000
    wire::check_writes $outcomes 0
    # Its owner replaces the record and promotes before it serves again.
    wire::control odd carobwind/group/svc1 {{not a record}}
    lassign [wire::write_under_load 12 {}] outcomes
    wire::check_writes $outcomes 1
    set late [lrange [dict values $outcomes] end-20 end]
    expect {[lsort -unique $late] eq "done"} $late
    foreach host {host1 host2 host3} {
        expect {[fleet::is_running $host]}
    }
}

# A host that does not respond for a while keeps the work that runs there: the
# caller gets its answer when the host resumes. The same fault occurs in
# deploy/days/nodes-slow.toml.
scenario wire-owner-pauses \
    "the owner pauses for 0.7 s with a write in flight; the write is answered" {
    wire::fleet
    set a [wire::connect host2 pay]
    eventually {[lindex [wire::query $a "WRITE first x"] 0] eq "done"} 5000
    # e-1, the primary, is in the data centre of host1, the owner.
    wire::control work 300
    puts $a "QUERY pause WRITE k1 v1"
    after 100
    fleet::signal host1 STOP
    after 700
    fleet::signal host1 CONT
    set line [gets $a]
    expect {[string match "COMPLETE*" $line]} $line
    gets $a
    wire::control work 3
    wire::check_writes {k1 done first done} 0
}

# Reads of the store that may be stale return records that were removed meanwhile.
# A host that restarts must use neither a removed route nor an endpoint that left.
scenario wire-restart-stale \
    "a host restarts while the store returns stale lists; no removed record is used" {
    wire::fleet
    after 1500
    wire::control stale 1
    wire::control config [string map {{"version":1} {"version":2} {"database":"old"} {"database":"new"}} $wire::config]
    wire::control leave e-3
    foreach host {host1 host2 host3} {
        eventually {![catch {wire::connect $host new}]} 3000
    }
    wire::control kill e-3
    wire::control withdraw e-3
    after 1000
    fleet::allow_exit host2
    kill host2
    start host2
    eventually {[wire::is_ready host2]} 8000
    expect {[catch {wire::connect host2 old}]} "a route that was removed is in use"
    set channel [wire::connect host2 new]
    for {set i 0} {$i < 20} {incr i} {
        expect {[lindex [wire::query $channel "READ k1"] 0] eq "done"}
    }
    expect {![regexp {event=registration endpoint=e-3} \
        [regsub {^.*event=started} [fleet::read_log host2] ""]]} \
        "an endpoint that left is in use"
}

# A registration that claims to be the primary has a name with a blank, which would
# make the first tenure record unreadable. It is ignored, so the primary stays.
scenario wire-odd-name-first \
    "the first registration has an invalid name; service begins" {
    wire::fleet 3 "" {
        wire::control odd "{servers/z blank}" {{{"service":"svc1","address":"127.0.0.1:80","zone":"north","slots":3,"state":"ready","dbRole":"primary"}}}
    }
    set a [wire::connect host1 pay]
    eventually {[lindex [wire::query $a "WRITE first x"] 0] eq "done"} 3000
    foreach host {host1 host2 host3} {
        set log [fleet::read_log $host]
        expect {![string match "*promotion begins*" $log]} $host
        expect {![string match "*event=registration endpoint=z*" $log]} $host
    }
}

# Returns the times at which processes made the decisions that begin with
# `decision`, in milliseconds, the earliest first.
proc wire::decision_times {processes decision} {
    set times {}
    foreach process $processes {
        foreach {- seconds fraction} [regexp -all -inline -line \
            "^(\\S+)\\.(\\d{3})Z .*what=\"$decision" [fleet::read_log $process]] {
            lappend times [expr {[clock scan $seconds -gmt 1] * 1000 +
                [scan $fraction %d]}]
        }
    }
    return [lsort -integer $times]
}

# The member list maps the name to the new process, which does not know the tenure
# of the former one.
scenario wire-name-twice \
    "a host is replaced under its name while it is frozen; the promotion waits" {
    wire::fleet 3 [wire::network].1.2:7100
    set channel [wire::connect host1 pay]
    eventually {[lindex [wire::query $channel "WRITE first x"] 0] eq "done"} 5000
    fleet::signal host1 STOP
    wire::start_host twin host1 4 north [wire::network].1.2:7100
    eventually {[llength [wire::decision_times twin "record swap: ok"]] > 0} 5000
    wire::control kill e-1
    set order "requests the promotion"
    eventually {[llength [wire::decision_times twin $order]] > 0} 12000
    # The tenure of the frozen process lasts for 6 s at the most.
    set waited [expr {[lindex [wire::decision_times twin $order] 0] -
        [lindex [wire::decision_times twin "record swap: ok"] 0]}]
    expect {$waited >= 6000} $waited
}

# The promotion request of the killed process takes effect after its end. The new
# process at its address knows that the killed one's tenure has ended, which would
# otherwise last for up to 6 s.
scenario wire-owner-killed-promoting \
    "the owner is killed right after its promotion request and restarts; the next one waits" {
    wire::fleet 3 [wire::network].1.2:7100
    set channel [wire::connect host1 pay]
    eventually {[lindex [wire::query $channel "WRITE first x"] 0] eq "done"} 5000
    wire::control promote 1500
    wire::control kill e-1
    set order "requests the promotion"
    eventually {[llength [wire::decision_times host1 $order]] == 1} 5000
    kill host1
    set started [clock milliseconds]
    start host1
    set hosts {host1 host2 host3}
    eventually {[llength [wire::decision_times $hosts $order]] == 2} 12000
    set waited [expr {[lindex [wire::decision_times $hosts $order] 1] - $started}]
    expect {$waited >= 3000 && $waited < 4500} $waited
}

# Sends SIGTERM to the owner host1 right after its promotion request, which takes
# `promotion` ms. `body` is evaluated 1 s later. No other host may request a
# promotion: a request that takes effect after one for another endpoint would
# replace the primary that serves by then.
proc wire::stop_promoting_owner {promotion {body ""}} {
    fleet
    set channel [connect host1 pay]
    eventually {[lindex [wire::query $channel "WRITE first x"] 0] eq "done"} 5000
    close $channel
    control promote $promotion
    control kill e-1
    set order "requests the promotion"
    eventually {[llength [wire::decision_times host1 $order]] == 1} 5000
    fleet::signal host1 TERM
    after 1000
    eval $body
    eventually {![fleet::is_running host1]} 8000
    set channel [connect host2 pay]
    eventually {[lindex [wire::query $channel "WRITE second x"] 0] eq "done"} 8000
    expect {[decision_times {host2 host3} $order] eq {}}
    expect {[llength [decision_times host1 "e-. leads term"]] > 0}
    expect {![string match "*event=drain-limit*" [fleet::read_log host1]]}
}

scenario wire-owner-stops-promoting \
    "SIGTERM to the owner right after its promotion request; the promotion completes" {
    wire::stop_promoting_owner 1500
}

# The promotion takes longer than the shutdown of an idle host.
scenario wire-owner-stops-promoting-slowly \
    "SIGTERM to the owner right after its promotion request, which takes 3 s" {
    wire::stop_promoting_owner 3000
}

scenario wire-owner-stops-promoting-store-away \
    "SIGTERM to the owner right after its promotion request; it ends with the store down" {
    wire::stop_promoting_owner 1500 {
        wire::control store down
        after 2200
        wire::control store up
    }
}

# Checks the stand-in's promotion requests, promotions and commits, and that the
# last writes are served.
proc wire::check_promotions {outcomes} {
    set events [control events]
    set file [open [fleet::log_file events] w]
    puts $file [join $events \n]
    close $file
    # Replication is asynchronous: writes that only the old primary held are lost.
    check_writes $outcomes 1
    set violations [checker::check_promotions $events $outcomes]
    expect {[llength $violations] == 0} \
        "[llength $violations]: [join [lrange $violations 0 2] {; }]"
    set late [lrange [dict values $outcomes] end-20 end]
    expect {[lsort -unique $late] eq "done"} $late
}

# The primary is killed, and the request to promote another endpoint is delayed.
# This endpoint's registration is removed until, after `replace_owner`, the third
# endpoint is promoted. After `restore_owner` and `pause` ms under load, the request
# arrives, unless its connection was reset.
proc wire::deliver_late_order {seconds replace_owner restore_owner pause} {
    fleet
    lassign [write_under_load $seconds {
        control overlap 1000 ;# see PROTOCOL, the old primary after a promotion
        control hold host1
        control kill e-1
        eventually {[llength [wire::control held]] == 1} 5000
        control hold none
        set candidate [lindex [control held] 0 1]
        control withdraw $candidate
        eval $replace_owner
        eventually {[wire::control primary] in
            [lsearch -all -inline -not {e-2 e-3} $candidate]} 15000
        after 500 ;# until the owner has noticed which one leads
        control register $candidate
        eval $restore_owner
        after $pause { wire::control deliver }
    }] outcomes
    check_promotions $outcomes
}

scenario wire-late-order \
    "a promotion request arrives after its sender cancelled it for another endpoint" {
    wire::deliver_late_order 10 {} {} 2000
}

scenario wire-late-order-after-pause \
    "the owner pauses, another one promotes; the first one's request arrives later" {
    wire::deliver_late_order 26 { suspend host1 } { resume host1 } 5000
}

scenario wire-late-order-after-restart \
    "the owner restarts, another one promotes; the first one's request arrives later" {
    wire::deliver_late_order 22 { stop host1 } { start host1 } 4000
}

# The first promotion request takes effect after 900 ms, and `omission` says how its
# answer is lost. Its endpoint crashes and restarts meanwhile, so that another one
# becomes a candidate.
proc wire::lose_order_answer {omission} {
    fleet
    lassign [write_under_load 16 {
        control overlap 1000
        control promote 900
        control unanswered 1 $omission
        control kill e-1
        eventually {[lsearch -index 1 [wire::control events] order] >= 0} 5000
        control promote 150
        set order [lsearch -inline -index 1 [control events] order]
        set candidate [lindex $order 3]
        control kill $candidate
        after 400
        control start $candidate
    }] outcomes
    check_promotions $outcomes
}

scenario wire-order-answer-lost \
    "a late promotion request; its connection closes unanswered, its endpoint restarts" {
    wire::lose_order_answer close
}

scenario wire-order-unanswered \
    "a late promotion request is never answered, its endpoint restarts" {
    wire::lose_order_answer silent
}

# A configuration with the keys of two workspaces, and one public route.
# `acme_limit` is the rate and the burst of the first one.
proc wire::workspace_config {version acme_keys {acme_limit 500}} {
    variable config
    set keys [join [lmap key $acme_keys {format {"%s"} $key}] ,]
    return [string map [list {"version":1} "\"version\":$version" \
        {"name":"r3",} {"name":"r3","public":true,} \
        {"limits":} "\"tenants\":\[{\"name\":\"acme\",\"apiKeys\":\[$keys\],\"ratePerS\":$acme_limit,\"burst\":$acme_limit},{\"name\":\"zoo\",\"apiKeys\":\[\"kz\"\],\"ratePerS\":500,\"burst\":500}\],\"limits\":"] $config]
}

# Guards against statements that run for unknown or revoked keys, or under the
# name of another workspace, and against keys in logs or at endpoints.
scenario wire-workspaces \
    "sessions by key: unknown, added and revoked ones, idle and in a transaction" {
    wire::fleet 3 "" {
        wire::control config [wire::workspace_config 2 {ka kb}]
    }
    set a [wire::connect host1 pay ka]
    set b [wire::connect host2 pay kb]
    set z [wire::connect host3 pay kz]
    set open [wire::connect host1 old nobody]
    set expected {}
    for {set i 0} {$i < 20} {incr i} {
        foreach {channel name} [list $a acme $b acme $z zoo $open carobwind] {
            expect {[lindex [wire::query $channel "READ k1"] 0] eq "done"}
            lappend expected [wire::last_query_id] $name
        }
    }
    set callers [wire::control callers]
    foreach {query name} $expected {
        expect {[dict get $callers $query] eq $name}
    }
    lassign [wire::start_session host2 pay kq] unknown answer
    expect {[string match "ERROR AUTHFAIL *" $answer]}
    eventually {[wire::is_closed $unknown]} 1000
    # kb is revoked while one session is idle and one is in a transaction; kc is
    # added at the same time, and must be accepted by hosts that do not know it yet.
    set c [wire::connect host3 pay kb]
    expect {[wire::query $c "BEGIN"] eq {done {} T}}
    expect {[wire::query $c "WRITE k5 lost"] eq {done {} T}}
    wire::control config [wire::workspace_config 3 {ka kc}]
    set added [wire::connect host3 pay kc]
    expect {[lindex [wire::query $added "READ k1"] 0] eq "done"}
    eventually {[wire::is_closed $b]} 3000
    eventually {[wire::is_closed $c]} 5000
    # The transaction of the revoked key was rolled back.
    expect {[lsearch -index 2 [concat {*}[lmap e {e-1 e-2 e-3} {wire::control log $e}]] lost] < 0}
    lassign [wire::query $a "READ k5"] outcome rows
    expect {$outcome eq "done" && $rows ne "lost"}
    expect {[wire::query $a "WRITE k6 v6"] eq {done {} I}}
    lassign [wire::start_session host1 pay kb] - answer
    expect {[string match "ERROR AUTHFAIL *" $answer]}
    foreach host {host1 host2 host3} {
        set file [open [fleet::log_file $host]]
        expect {![regexp {\m(ka|kb|kc|kz)\M} [read $file]]}
        close $file
    }
}

# Guards against hosts that together run more than a workspace's limit, against a
# limit that holds back another workspace, and against refusals that are counted.
scenario wire-quota \
    "a workspace asks three hosts for many times its limit" {
    wire::fleet 3 "" {
        wire::control config [wire::workspace_config 2 {ka kb} 20]
    }
    set flooding [lmap host {host1 host2 host3} {wire::connect $host pay ka}]
    set other [wire::connect host2 pay kz]
    set served {}
    set refused 0
    set begin [clock milliseconds]
    while {[clock milliseconds] - $begin < 7000} {
        foreach channel $flooding {
            set sent [clock milliseconds]
            switch -- [lindex [wire::query $channel "READ k1"] 0] {
                done { lappend served $sent }
                BUSY { incr refused }
            }
        }
        expect {[lindex [wire::query $other "READ k1"] 0] eq "done"}
    }
    expect {$refused > 0}
    # At least half of the limit, on any machine that is fast enough to exceed it.
    expect {[llength $served] >= 7 * 20 / 2} "[llength $served] served"
    for {set i 0} {$i < [llength $served]} {incr i} {
        set from [lindex $served $i]
        set count 0
        foreach time $served {
            incr count [expr {$time >= $from && $time < $from + 5000}]
        }
        expect {$count <= (20 * 5 + 20) * 1.1 + 20} "$count in 5 s"
    }
}
