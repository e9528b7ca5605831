# A stand-in for the platform that speaks its published protocols: the metadata
# store and the duty over HTTP, three endpoints of one database over the wire
# protocol. One process, driven by lines on a control connection:
#   tclsh platform_standin.tcl NETWORK     listens on NETWORK.9.1 to .9.4
# Commands: kill E, start E, leave E, config TEXT, store up|down|reject,
# deaf 0|1 (watches miss changes), twice 0|1 (each answer is sent again), work MS, runs, log E, quit. Each is answered by one line.

package require json

set network [lindex $argv 0]
set database "svc1"
set lag_ms 30
set work_ms 3
set promote_ms 150

# The store: key to {value revision created}.
set revision 5
set store [dict create]
set history {}
set watches {}
set mode up
set lose 0 ;# answers of writes that are still to be lost
set lists 0 ;# reads of all keys with a prefix that may not lag
set deaf 0
set twice 0

proc put {key value} {
    set created [incr ::revision]
    if {[dict exists $::store $key]} {
        set created [lindex [dict get $::store $key] 2]
    }
    dict set ::store $key [list $value $::revision $created]
    lappend ::history [list $::revision $key]
    wake_watches
}

proc remove {key} {
    incr ::revision
    dict unset ::store $key
    lappend ::history [list $::revision $key]
    wake_watches
}

proc quote {text} {
    return "\"[string map {\\ \\\\ \" \\\" \n \\n} $text]\""
}

proc item_json {key} {
    if {![dict exists $::store $key]} {
        return "{\"key\":[quote $key],\"revision\":$::revision,\"deleted\":true}"
    }
    lassign [dict get $::store $key] value revision created
    return "{\"key\":[quote $key],\"value\":\"[binary encode base64 \
        [encoding convertto utf-8 $value]]\",\"revision\":$revision,\"created\":$created,\"lease\":0}"
}

proc respond {channel status body} {
    if {$::twice} {
        after 20 [list send_answer $channel $status $body]
    }
    send_answer $channel $status $body
}

proc send_answer {channel status body} {
    catch {
        puts -nonewline $channel "HTTP/1.1 $status X\r\nContent-Type:\
            application/json\r\nContent-Length: [string length $body]\r\n\r\n$body"
        flush $channel
    }
}

proc query_of {path} {
    set values [dict create after 0 prefix "" key "" waitMs 0]
    regexp {\?(.*)$} $path -> text
    if {[info exists text]} {
        foreach pair [split $text &] {
            lassign [split $pair =] name value
            set value [string map {%2F / %20 " "} $value]
            dict set values $name $value
        }
    }
    return $values
}

proc changed_since {prefix after} {
    set keys {}
    foreach entry $::history {
        lassign $entry revision key
        if {$revision > $after && [string match $prefix* $key] &&
            $key ni $keys} {
            lappend keys $key
        }
    }
    return $keys
}

proc answer_watch {channel prefix after} {
    set events {}
    foreach key [changed_since $prefix $after] {
        lappend events [item_json $key]
    }
    respond $channel 200 \
        "{\"events\":\[[join $events ,]\],\"storeRevision\":$::revision}"
}

proc wake_watches {} {
    if {$::deaf} {
        return
    }
    set kept {}
    foreach watch $::watches {
        lassign $watch channel prefix after
        if {[llength [changed_since $prefix $after]] > 0} {
            answer_watch $channel $prefix $after
        } else {
            lappend kept $watch
        }
    }
    set ::watches $kept
}

proc end_watch {channel} {
    set kept {}
    foreach watch $::watches {
        lassign $watch waiting prefix after
        if {$waiting eq $channel} {
            # A deaf watch ends with no event, past what it missed.
            answer_watch $channel $prefix \
                [expr {$::deaf ? $::revision : $after}]
        } else {
            lappend kept $watch
        }
    }
    set ::watches $kept
}

proc transact {channel body} {
    set call [json::json2dict $body]
    foreach row [dict get $call expectedRev] {
        set key [dict get $row key]
        set present 0
        if {[dict exists $::store $key]} {
            set present [lindex [dict get $::store $key] 1]
        }
        if {$present != [dict get $row revision]} {
            respond $channel 412 "{\"items\":\[\]}"
            return
        }
    }
    foreach row [dict get $call puts] {
        put [dict get $row key] [encoding convertfrom utf-8 \
            [binary decode base64 [dict get $row value]]]
    }
    foreach key [dict get $call deletes] {
        remove $key
    }
    respond $channel 200 "{\"revision\":$::revision}"
}

proc handle_http {channel method path body} {
    set query [query_of $path]
    set route [lindex [split $path ?] 0]
    if {$route eq "/failover"} {
        promote $channel [json::json2dict $body]
        return
    }
    if {$::mode eq "down"} {
        return
    }
    if {$::mode eq "reject"} {
        respond $channel 503 "{}"
        return
    }
    if {$route eq "/carobwind/kv-range" && ![dict exists $query staleOk]} {
        incr ::lists
    }
    switch -- $route {
        /carobwind/kv-key {
            set key [dict get $query key]
            if {![dict exists $::store $key]} {
                respond $channel 404 "{}"
                return
            }
            set item [string range [item_json $key] 0 end-1]
            respond $channel 200 "$item,\"storeRevision\":$::revision\}"
        }
        /carobwind/kv-range {
            set items {}
            foreach key [lsort [dict keys $::store [dict get $query prefix]*]] {
                lappend items [item_json $key]
            }
            respond $channel 200 "{\"items\":\[[join $items ,]\],\"hasMore\":false,\"storeRevision\":$::revision}"
        }
        /carobwind/kv-watch {
            set prefix [dict get $query prefix]
            set after [dict get $query after]
            lappend ::watches [list $channel $prefix $after]
            after [dict get $query waitMs] [list end_watch $channel]
            wake_watches
        }
        /carobwind/kv-txn { transact $channel $body }
        default { respond $channel 404 "{}" }
    }
}

proc on_http {channel} {
    upvar #0 buffer($channel) buffer
    append buffer [read $channel]
    if {[eof $channel]} {
        close $channel
        unset -nocomplain buffer
        return
    }
    while {[set end [string first "\r\n\r\n" $buffer]] >= 0} {
        set head [string range $buffer 0 $end]
        set size 0
        regexp -nocase {Content-Length: (\d+)} $head -> size
        if {[string length $buffer] < $end + 4 + $size} {
            return
        }
        set body [string range $buffer [expr {$end + 4}] [expr {$end + 3 + $size}]]
        set buffer [string range $buffer [expr {$end + 4 + $size}] end]
        lassign [split [lindex [split $head \r] 0] " "] method path
        handle_http $channel $method $path $body
    }
}

# Endpoints: name to a dictionary of its state.
set endpoints [dict create]
set sequence 0
set runs {}

proc register {name} {
    set e [dict get $::endpoints $name]
    put servers/$name "{\"service\":\"$::database\",\"address\":\"[dict get $e address]\",\"zone\":\"[dict get $e zone]\",\"version\":\"v1\",\"slots\":3,\"state\":\"[dict get $e state]\",\"coldLeftMs\":0,\"dbRole\":\"[dict get $e role]\",\"sequence\":[incr ::sequence],\"born\":[dict get $e born]}"
}

proc start_endpoint {name} {
    dict set ::endpoints $name up 1
    dict set ::endpoints $name born [clock milliseconds]
    lassign [split [dict get $::endpoints $name address] :] ip port
    dict set ::endpoints $name server \
        [socket -server [list on_accept $name] -myaddr $ip $port]
    register $name
}

proc kill_endpoint {name} {
    dict set ::endpoints $name up 0
    close [dict get $::endpoints $name server]
    foreach channel [dict get $::endpoints $name channels] {
        drop $name $channel
    }
}

proc drop {name channel} {
    dict set ::endpoints $name channels [lsearch -all -inline -not \
        [dict get $::endpoints $name channels] $channel]
    unset -nocomplain ::session($channel)
    catch {close $channel}
}

proc primary {} {
    dict for {name e} $::endpoints {
        if {[dict get $e role] eq "primary" && [dict get $e up]} {
            return $name
        }
    }
    return ""
}

proc promote {channel call} {
    set name [dict get $call id]
    if {![dict exists $::endpoints $name] || ![dict get $::endpoints $name up]} {
        respond $channel 409 "{}"
        return
    }
    respond $channel 200 "{}"
    after $::promote_ms [list lead $name]
}

proc lead {name} {
    if {[dict get $::endpoints $name role] eq "primary"} {
        return
    }
    set term [expr {[dict get $::endpoints $name term] + 1}]
    dict for {other e} $::endpoints {
        dict set ::endpoints $other role replica
        dict set ::endpoints $other term $term
        if {$other ne $name} {
            dict set ::endpoints $other log [dict get $::endpoints $name log]
        }
    }
    dict set ::endpoints $name role primary
    foreach other [dict keys $::endpoints] {
        register $other
    }
}

# A log is a list of {term key value id}.
proc position {name} {
    set log [dict get $::endpoints $name log]
    return "[dict get $::endpoints $name term].[llength $log]"
}

proc value_of {name key} {
    set found none
    foreach entry [dict get $::endpoints $name log] {
        if {[lindex $entry 1] eq $key} {
            set found [lindex $entry 2]
        }
    }
    return $found
}

proc commit {name writes} {
    foreach write $writes {
        set entry [linsert $write 0 [dict get $::endpoints $name term]]
        set log [dict get $::endpoints $name log]
        lappend log $entry
        dict set ::endpoints $name log $log
    }
    after $::lag_ms replicate $name
}

proc replicate {name} {
    if {[dict get $::endpoints $name role] ne "primary"} {
        return
    }
    dict for {other e} $::endpoints {
        if {$other ne $name && [dict get $e up]} {
            dict set ::endpoints $other log [dict get $::endpoints $name log]
        }
    }
}

proc on_accept {name channel ip port} {
    fconfigure $channel -blocking 0 -translation binary -buffering none
    set ::session($channel) [dict create state I writes {} values {} \
        prepared {} started 0 queue {} busy 0 plain 0]
    set channels [dict get $::endpoints $name channels]
    dict set ::endpoints $name channels [lappend channels $channel]
    fileevent $channel readable [list on_wire $name $channel]
}

proc on_wire {name channel} {
    append ::input($channel) [read $channel]
    if {[eof $channel]} {
        drop $name $channel
        return
    }
    while {[set end [string first "\r\n" $::input($channel)]] >= 0} {
        set line [string range $::input($channel) 0 [expr {$end - 1}]]
        set ::input($channel) [string range $::input($channel) [expr {$end + 2}] end]
        set queue [dict get $::session($channel) queue]
        dict set ::session($channel) queue [lappend queue $line]
    }
    next $name $channel
}

proc next {name channel} {
    if {![info exists ::session($channel)] ||
        [dict get $::session($channel) busy] ||
        [llength [dict get $::session($channel) queue]] == 0} {
        return
    }
    set queue [lassign [dict get $::session($channel) queue] line]
    dict set ::session($channel) queue $queue
    dict set ::session($channel) busy 1
    set delay [expr {[regexp {^QUERY \S+ (AFTER \S+ )?(READ|WRITE|EXECUTE|COMMIT)} $line] ? $::work_ms : 0}]
    after $delay [list run $name $channel $line]
}

proc say {channel text} {
    catch {puts -nonewline $channel $text}
}

proc run {name channel line} {
    if {![info exists ::session($channel)]} {
        return
    }
    if {[regexp {^STARTUP (\S+) (\S+)( (\S+))?} $line -> service who - id]} {
        if {$service ne $::database || ($id ne "" && $id ne $name)} {
            say $channel "ERROR WRONGNODE $name\r\n"
            drop $name $channel
            return
        }
    } elseif {[regexp {^QUERY (\S+) (.*)$} $line -> id text]} {
        set answer [execute $name $channel $id $text]
        # A write whose answer is lost: it ran, and its connection ends.
        if {$::lose > 0 && [regexp {^(AFTER \S+ )?WRITE} $text] &&
            [string match "COMPLETE*" $answer]} {
            incr ::lose -1
            drop $name $channel
            return
        }
        say $channel $answer
    }
    say $channel "READY [dict get $::session($channel) state] [position $name]\r\n"
    dict set ::session($channel) busy 0
    next $name $channel
}

proc refuse {channel code} {
    if {[dict get $::session($channel) state] eq "T"} {
        dict set ::session($channel) state E
    }
    return "ERROR $code standin\r\n"
}

proc execute {name channel id text} {
    upvar #0 session($channel) s
    if {[regexp {^AFTER (\d+)\.(\d+) (.*)$} $text -> term number text]} {
        set log [dict get $::endpoints $name log]
        if {$term > [dict get $::endpoints $name term] ||
            $number > [llength $log]} {
            return [refuse $channel LAGGING]
        }
    }
    set leads [expr {[dict get $::endpoints $name role] eq "primary"}]
    set words [split $text " "]
    switch -- [lindex $words 0] {
        BEGIN {
            if {!$leads && [lindex $words 1] ne "READ"} {
                return [refuse $channel READONLY]
            }
            dict set s state T
            dict set s writes {}
            return "COMPLETE -\r\n"
        }
        COMMIT {
            commit $name [dict get $s writes]
            lappend ::runs [list $id commit $name [llength [dict get $s writes]]]
            dict set s state I
            dict set s writes {}
            return "COMPLETE sig.$name.$id\r\n"
        }
        ROLLBACK {
            dict set s state I
            dict set s writes {}
            return "COMPLETE -\r\n"
        }
        SET {
            dict set s values [lindex $words 1] [join [lrange $words 2 end] " "]
            return "COMPLETE -\r\n"
        }
        PREPARE {
            dict set s prepared [lindex $words 1] [lrange $words 2 end]
            return "COMPLETE -\r\n"
        }
        DISCARD {
            dict set s prepared {}
            dict set s values {}
            return "COMPLETE -\r\n"
        }
        STATUS - STEPDOWN {
            if {[lindex $words 0] eq "STEPDOWN" && $leads &&
                [lindex $words 1] > [dict get $::endpoints $name term]} {
                dict set ::endpoints $name role replica
            }
            return "DATAROW [dict get $::endpoints $name role] [dict get $::endpoints $name term] [position $name] [dict get $::endpoints $name term] 0 0 1\r\nCOMPLETE -\r\n"
        }
        EXECUTE {
            if {![dict exists $s prepared [lindex $words 1]]} {
                return [refuse $channel NOSTMT]
            }
            set words [linsert [lrange $words 2 end] 0 \
                [lindex [dict get $s prepared [lindex $words 1]] 0]]
        }
    }
    lappend ::runs [list $id [lindex $words 0] $name [dict get $s values]]
    switch -- [lindex $words 0] {
        READ {
            return "DATAROW [value_of $name [lindex $words 1]]\r\nCOMPLETE sig.$name.$id\r\n"
        }
        WRITE {
            if {!$leads} {
                return [refuse $channel READONLY]
            }
            set write [list [lindex $words 1] [lindex $words 2] $id]
            if {[dict get $s state] eq "T"} {
                dict set s writes [concat [dict get $s writes] [list $write]]
            } else {
                commit $name [list $write]
            }
            return "COMPLETE sig.$name.$id\r\n"
        }
    }
    return [refuse $channel MALFORMED]
}

# Control.

proc control {channel line} {
    lassign $line word subject
    switch -- $word {
        kill { kill_endpoint $subject; return ok }
        start { start_endpoint $subject; return ok }
        leave {
            dict set ::endpoints $subject state draining
            register $subject
            return ok
        }
        config { put op/config [string range $line 7 end]; return ok }
        store { set ::mode $subject; return ok }
        deaf { set ::deaf $subject; return ok }
        twice { set ::twice $subject; return ok }
        work { set ::work_ms $subject; return ok }
        primary { return [primary] }
        runs { return $::runs }
        lists { return $::lists }
        lose { set ::lose $subject; return ok }
        log { return [dict get $::endpoints $subject log] }
        quit { exit }
    }
    return "?"
}

proc on_control {channel} {
    if {[gets $channel line] < 0} {
        if {[eof $channel]} {
            close $channel
        }
        return
    }
    puts $channel [string map {\n " "} [control $channel $line]]
    flush $channel
}

socket -server {apply {{channel ip port} {
    fconfigure $channel -blocking 0 -translation binary
    fileevent $channel readable [list on_http $channel]
}}} -myaddr $network.9.1 7300
socket -server {apply {{channel ip port} {
    fconfigure $channel -blocking 0
    fileevent $channel readable [list on_control $channel]
}}} -myaddr $network.9.1 7399
foreach {name zone number role} {
    e-1 north 2 primary e-2 south 3 replica e-3 west 4 replica
} {
    dict set endpoints $name [dict create address $network.9.$number:7400 \
        zone $zone role $role term 3 log {} state ready channels {} up 0]
    start_endpoint $name
}
vwait forever
