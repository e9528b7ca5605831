# A stand-in for the platform that implements its published protocols: the
# metadata store and the promotion service (--order-driver=duty of the daemon)
# over HTTP, and three endpoints of one database over the wire protocol. It is
# one process:
#   tclsh platform_standin.tcl NETWORK     listens on NETWORK.9.1 to .9.4
# Each line on its control connection is a command, answered by one line, in which
# line ends within texts become blanks:
#   kill E, start E           stops or starts an endpoint
#   leave E                   registers an endpoint as draining
#   isolate E 0|1             an endpoint receives nothing from the others, and keeps
#                             its log and its term when another one is promoted
#   withdraw E                removes the registration of an endpoint
#   config TEXT               stores a configuration
#   store up|down|reject      the store answers, stays silent or answers 503
#   deaf 0|1                  watches stay silent and then skip the changes
#                             made meanwhile
#   twice 0|1                 each HTTP response is sent twice
#   lose N                    N answers of executed writes are lost
#   work MS                   sets the service time of statements
#   rows N                    a read returns its row N times
#   primary, log E            returns the primary, or the log of an endpoint
#   odd KEY TEXT              another writer stores TEXT, a list element with
#                             escapes, under KEY
#   deep KEY N                the same with N opening brackets
#   long KEY N                the same with N bytes
#   runs                      returns the executed reads, writes and commits
#   texts                     returns the same runs byte for byte: {query text
#                             shape variables transaction}, see `record_run`
#   keep KEY HEX              the primary commits the bytes HEX under KEY
#   lists                     returns the number of linearizable range reads
#   stale 0|1                 1: reads that may be stale return the state at the
#                             time of this command until `stale 0`
#   reads                     returns the number of reads of the configuration
#   unaware 0|1               a primary that is replaced does not notice it until
#                             it is told to step down
#   overlap MS                the same, but it also notices it after MS
#   register NAME             publishes the record of an endpoint
#   hold HOST                 promotion requests of HOST are delayed from now on;
#                             "none": of no host
#   held                      returns the delayed requests: {holder endpoint fence}
#   deliver                   the delayed requests arrive; ends `hold`
#   promote MS                sets the time from a promotion request to its effect
#   unanswered N close|silent N promotion requests are accepted, but not answered:
#                             the connection is closed or stays silent
#   events                    returns the promotion requests (`order`), promotions
#                             and commits in the order of their times, see `note`
#   late                      returns the keys that were written at an endpoint
#                             after another one had begun a higher term
#   quit                      exits

package require json

set network [lindex $argv 0]
set database "svc1"
set first_term 3
set lag_ms 30
set service_ms 3
set rows 1 ;# of the answer to a read
set promote_ms 150
set page_bytes 1000000 ;# of the values in one answer to a range read

# The store: key to {value revision created}. `history` is the list of
# {revision key} of all changes, `watches` that of {channel prefix after timer}.
set revision 5
set store [dict create]
set history {}
set watches {}
set store_mode up
set answers_to_lose 0 ;# of writes
set unaware 0 ;# see the command
set late_keys {}
set notice_ms "" ;# see the command `overlap`; "": never
set held_host none
set held {} ;# channels whose next request is a delayed promotion request
set answers_to_omit 0 ;# of promotion requests
set omission close
set events {}
set config_reads 0 ;# reads of the configuration record
set range_reads 0 ;# linearizable reads of key ranges
set stale_store "" ;# what reads that may be stale return; "": the store
set watches_deaf 0 ;# watches miss changes, see expire_watch
set duplicate_answers 0 ;# each HTTP response is sent twice

proc put_key {key value} {
    set created [incr ::revision]
    if {[dict exists $::store $key]} {
        set created [lindex [dict get $::store $key] 2]
    }
    dict set ::store $key [list $value $::revision $created]
    lappend ::history [list $::revision $key]
    wake_watches
}

proc delete_key {key} {
    incr ::revision
    dict unset ::store $key
    lappend ::history [list $::revision $key]
    wake_watches
}

proc quote {text} {
    return "\"[string map {\\ \\\\ \" \\\" \n \\n} $text]\""
}

proc item_json {key {contents ""}} {
    if {$contents eq ""} {
        set contents $::store
    }
    if {![dict exists $contents $key]} {
        return "{\"key\":[quote $key],\"revision\":$::revision,\"deleted\":true}"
    }
    lassign [dict get $contents $key] value revision created
    return "{\"key\":[quote $key],\"value\":\"[binary encode base64 \
        [encoding convertto utf-8 $value]]\",\"revision\":$revision,\"created\":$created,\"lease\":0}"
}

proc respond {channel status body} {
    if {$::duplicate_answers} {
        after 20 [list send_response $channel $status $body]
    }
    send_response $channel $status $body
}

proc send_response {channel status body} {
    catch {
        puts -nonewline $channel "HTTP/1.1 $status X\r\nContent-Type:\
            application/json\r\nContent-Length: [string length $body]\r\n\r\n$body"
        flush $channel
    }
}

# Returns the parameters of a URL as a dictionary.
proc parse_query {path} {
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

# Returns the keys with a prefix that changed after a revision.
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

# Answers the watches that have a change to report.
proc wake_watches {} {
    if {$::watches_deaf} {
        return
    }
    set kept {}
    foreach watch $::watches {
        lassign $watch channel prefix after timer
        if {[llength [changed_since $prefix $after]] > 0} {
            after cancel $timer
            answer_watch $channel $prefix $after
        } else {
            lappend kept $watch
        }
    }
    set ::watches $kept
}

# Takes the watch on a channel, if there is one, off the list and returns it.
proc take_watch {channel} {
    set index [lsearch -index 0 -exact $::watches $channel]
    if {$index < 0} {
        return {}
    }
    set watch [lindex $::watches $index]
    set ::watches [lreplace $::watches $index $index]
    return $watch
}

# Answers the watch on a channel when its waiting time is over.
proc expire_watch {channel} {
    lassign [take_watch $channel] - prefix after
    # A deaf watch ends without events at the current revision, and so skips the
    # changes that it missed.
    answer_watch $channel $prefix \
        [expr {$::watches_deaf ? $::revision : $after}]
}

# Drops the watch of a channel that was closed: the next one may get its name.
proc drop_watch {channel} {
    after cancel [lindex [take_watch $channel] 3]
}

# Applies a transaction if all expected revisions match.
proc transact {channel body} {
    set request [json::json2dict $body]
    foreach row [dict get $request expectedRev] {
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
    foreach row [dict get $request puts] {
        put_key [dict get $row key] [encoding convertfrom utf-8 \
            [binary decode base64 [dict get $row value]]]
    }
    foreach key [dict get $request deletes] {
        delete_key $key
    }
    respond $channel 200 "{\"revision\":$::revision}"
}

# Answers with the page of the records under a prefix that begins after a key.
proc answer_range {channel prefix after contents} {
    set items {}
    set bytes 0
    set more false
    foreach key [lsort [dict keys $contents $prefix*]] {
        if {[string compare $key $after] <= 0} {
            continue
        }
        if {$bytes >= $::page_bytes} {
            set more true
            break
        }
        lappend items [item_json $key $contents]
        incr bytes [string length [lindex [dict get $contents $key] 0]]
    }
    respond $channel 200 "{\"items\":\[[join $items ,]\],\"hasMore\":$more,\"storeRevision\":$::revision}"
}

proc handle_http {channel head path body} {
    set query [parse_query $path]
    set route [lindex [split $path ?] 0]
    if {$route eq "/failover"} {
        handle_promotion $channel {*}[parse_order $head $body]
        return
    }
    if {$::store_mode eq "down"} {
        return
    }
    if {$::store_mode eq "reject"} {
        respond $channel 503 "{}"
        return
    }
    if {$route eq "/carobwind/kv-range" && ![dict exists $query staleOk]} {
        incr ::range_reads
    }
    switch -- $route {
        /carobwind/kv-key {
            set key [dict get $query key]
            incr ::config_reads [expr {$key eq "op/config"}]
            if {![dict exists $::store $key]} {
                respond $channel 404 "{}"
                return
            }
            set item [string range [item_json $key] 0 end-1]
            respond $channel 200 "$item,\"storeRevision\":$::revision\}"
        }
        /carobwind/kv-range {
            set contents $::store
            if {[dict exists $query staleOk] && $::stale_store ne ""} {
                set contents $::stale_store
            }
            answer_range $channel [dict get $query prefix] \
                [dict get $query after] $contents
        }
        /carobwind/kv-watch {
            set prefix [dict get $query prefix]
            set after [dict get $query after]
            lappend ::watches [list $channel $prefix $after \
                [after [dict get $query waitMs] [list expire_watch $channel]]]
            wake_watches
        }
        /carobwind/kv-txn { transact $channel $body }
        default { respond $channel 404 "{}" }
    }
}

# Returns the holder, the endpoint and the fencing token of a promotion request.
proc parse_order {head body} {
    set holder ""
    set fence 0
    regexp -nocase {X-Lease-Holder: ([^\r]*)} $head -> holder
    regexp -nocase {X-Fencing-Token: (\d+)} $head -> fence
    return [list $holder [dict get [json::json2dict $body] id] $fence]
}

# Returns whether the connection of a channel at its end was reset, which Tcl
# doesn't report: it has no remote end any more.
proc is_reset {channel} {
    return [catch {fconfigure $channel -peername}]
}

proc on_http {channel} {
    append ::buffer($channel) [read $channel]
    if {![eof $channel]} {
        serve_requests $channel
    } elseif {$channel in $::held && ![is_reset $channel]} {
        # A sender that closes its connection without a reset still transmits
        # what it wrote.
        fileevent $channel readable {}
    } else {
        close_http $channel
    }
}

proc close_http {channel} {
    close $channel
    drop_watch $channel
    unset -nocomplain ::buffer($channel)
    set ::held [lsearch -all -inline -not -exact $::held $channel]
}

# Returns the first request in the input of a channel as a list: head, path, body,
# size in bytes; empty if it is incomplete.
proc first_request {channel} {
    upvar #0 buffer($channel) buffer
    set end [string first "\r\n\r\n" $buffer]
    if {$end < 0} {
        return {}
    }
    set head [string range $buffer 0 $end]
    set size 0
    regexp -nocase {Content-Length: (\d+)} $head -> size
    if {[string length $buffer] < $end + 4 + $size} {
        return {}
    }
    set body [string range $buffer [expr {$end + 4}] [expr {$end + 3 + $size}]]
    set path [lindex [split [lindex [split $head \r] 0] " "] 1]
    return [list $head $path $body [expr {$end + 4 + $size}]]
}

proc serve_requests {channel} {
    upvar #0 buffer($channel) buffer
    while {[info exists buffer] && $channel ni $::held &&
        [llength [set request [first_request $channel]]] > 0} {
        lassign $request head path body size
        if {$path eq "/failover" &&
            [lindex [parse_order $head $body] 0] eq $::held_host} {
            lappend ::held $channel
            return
        }
        set buffer [string range $buffer $size end]
        handle_http $channel $head $path $body
    }
}

proc list_held {} {
    set orders {}
    foreach channel $::held {
        lassign [first_request $channel] head - body
        lappend orders [parse_order $head $body]
    }
    return $orders
}

proc deliver_held {} {
    set ::held_host none
    set channels $::held
    set ::held {}
    foreach channel $channels {
        serve_requests $channel
        if {[info exists ::buffer($channel)] &&
            [fileevent $channel readable] eq ""} {
            close_http $channel
        }
    }
}

# Appends an event: {TIME order HOLDER ENDPOINT FENCE}, {TIME promotion ENDPOINT
# TERM} or {TIME commit ENDPOINT TERM KEY}, with the time in ms.
proc note {args} {
    lappend ::events [list [clock milliseconds] {*}$args]
}

# Endpoints: name to a dictionary of its state. `executed` lists the reads, writes
# and commits that ran: {query command endpoint variables}, of a commit {query
# commit endpoint count}, where `count` is the number of its writes.
set endpoints [dict create]
set record_sequence 0 ;# of the published endpoint records
set executed {}
# The same runs byte for byte, see `record_run`.
set executed_texts {}
set transaction_count 0 ;# transactions begun at the endpoints
# Query ids of reads and writes that ran, each followed by the name that the
# connection's STARTUP gave.
set callers {}

# Publishes the record of an endpoint in the store.
proc register {name} {
    set endpoint [dict get $::endpoints $name]
    put_key servers/$name "{\"service\":\"$::database\",\"address\":\"[dict get $endpoint address]\",\"zone\":\"[dict get $endpoint zone]\",\"version\":\"v1\",\"slots\":3,\"state\":\"[dict get $endpoint state]\",\"coldLeftMs\":0,\"dbRole\":\"[dict get $endpoint role]\",\"sequence\":[incr ::record_sequence],\"born\":[dict get $endpoint born]}"
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
        close_session $name $channel
    }
}

proc close_session {name channel} {
    dict set ::endpoints $name channels [lsearch -all -inline -not \
        [dict get $::endpoints $name channels] $channel]
    unset -nocomplain ::session($channel)
    catch {close $channel}
}

proc find_primary {} {
    set found ""
    dict for {name endpoint} $::endpoints {
        if {[dict get $endpoint role] eq "primary" && [dict get $endpoint up] &&
            ($found eq "" || [dict get $endpoint term] > [dict get $::endpoints $found term])} {
            set found $name
        }
    }
    return $found
}

proc highest_term {} {
    set highest 0
    dict for {name endpoint} $::endpoints {
        set highest [expr {max($highest, [dict get $endpoint term])}]
    }
    return $highest
}

# An endpoint becomes a replica of the primary, if that is up.
proc follow_primary {name} {
    dict set ::endpoints $name role replica
    set primary [find_primary]
    if {$primary ne ""} {
        dict set ::endpoints $name term [dict get $::endpoints $primary term]
        dict set ::endpoints $name log [dict get $::endpoints $primary log]
    }
}

# Makes a primary of a term below `term` a replica.
proc step_down {name term} {
    if {[dict get $::endpoints $name role] eq "primary" &&
        $term > [dict get $::endpoints $name term]} {
        follow_primary $name
        register $name
    }
}

# Accepts a promotion request; the promotion takes effect after `promote_ms`.
proc handle_promotion {channel holder name fence} {
    note order $holder $name $fence
    if {![dict exists $::endpoints $name] || ![dict get $::endpoints $name up]} {
        respond $channel 409 "{}"
        return
    }
    after $::promote_ms [list make_primary $name]
    if {$::answers_to_omit == 0} {
        respond $channel 200 "{}"
        return
    }
    incr ::answers_to_omit -1
    if {$::omission eq "close"} {
        close_http $channel
    }
}

# Makes an endpoint primary in a new term, unless it is the present one. The other
# endpoints adopt its log, also those that are stopped, but no unaware primary.
proc make_primary {name} {
    if {[find_primary] eq $name} {
        return
    }
    set term [expr {[highest_term] + 1}]
    dict for {other endpoint} $::endpoints {
        if {$::unaware && $other ne $name && [dict get $endpoint up] &&
            [dict get $endpoint role] eq "primary"} {
            if {$::notice_ms ne ""} {
                after $::notice_ms [list step_down $other $term]
            }
            continue
        }
        dict set ::endpoints $other role replica
        if {$other ne $name && [dict get $endpoint isolated]} {
            continue
        }
        dict set ::endpoints $other term $term
        if {$other ne $name} {
            dict set ::endpoints $other log [dict get $::endpoints $name log]
        }
    }
    dict set ::endpoints $name role primary
    note promotion $name $term
    foreach other [dict keys $::endpoints] {
        if {[dict exists $::store servers/$other]} {
            register $other
        }
    }
}

# Returns the position of an endpoint, TERM.LENGTH; the term is that of its last
# entry. Its log is a list of {term key value query_id}.
proc position {name} {
    set log [dict get $::endpoints $name log]
    set last [lindex $log end]
    return "[expr {$last eq "" ? $::first_term : [lindex $last 0]}].[llength $log]"
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
        if {[dict get $::endpoints $name term] < [highest_term]} {
            lappend ::late_keys [lindex $write 0]
        }
        set entry [linsert $write 0 [dict get $::endpoints $name term]]
        set log [dict get $::endpoints $name log]
        lappend log $entry
        dict set ::endpoints $name log $log
        note commit $name [dict get $::endpoints $name term] [lindex $write 0]
    }
    after $::lag_ms replicate $name
}

# Copies the log of an endpoint to the running replicas of its term, unless it is
# no longer the primary.
proc replicate {name} {
    if {[dict get $::endpoints $name role] ne "primary"} {
        return
    }
    dict for {other endpoint} $::endpoints {
        if {$other ne $name && [dict get $endpoint up] &&
            [dict get $endpoint role] eq "replica" &&
            ![dict get $endpoint isolated] &&
            [dict get $endpoint term] == [dict get $::endpoints $name term]} {
            dict set ::endpoints $other log [dict get $::endpoints $name log]
        }
    }
}

# A session's `state` is I (idle), T (in a transaction) or E (in an aborted
# transaction).
proc on_accept {name channel ip port} {
    fconfigure $channel -blocking 0 -translation binary -buffering none
    set ::session($channel) [dict create state I writes {} variables {} \
        prepared {} started 0 queue {} busy 0 plain 0 caller "" transaction 0]
    set ::input($channel) "" ;# the name may be that of a channel that was closed
    set channels [dict get $::endpoints $name channels]
    dict set ::endpoints $name channels [lappend channels $channel]
    fileevent $channel readable [list on_wire $name $channel]
}

proc on_wire {name channel} {
    if {[catch {append ::input($channel) [read $channel]}] || [eof $channel]} {
        close_session $name $channel
        return
    }
    while {[set end [string first "\r\n" $::input($channel)]] >= 0} {
        set line [string range $::input($channel) 0 [expr {$end - 1}]]
        set ::input($channel) [string range $::input($channel) [expr {$end + 2}] end]
        set queue [dict get $::session($channel) queue]
        dict set ::session($channel) queue [lappend queue $line]
    }
    run_next $name $channel
}

# Runs the next statement of a session, if none is running.
proc run_next {name channel} {
    if {![info exists ::session($channel)] ||
        [dict get $::session($channel) busy] ||
        [llength [dict get $::session($channel) queue]] == 0} {
        return
    }
    set queue [lassign [dict get $::session($channel) queue] line]
    dict set ::session($channel) queue $queue
    dict set ::session($channel) busy 1
    set delay [expr {[regexp {^QUERY [^ ]+ (AFTER \S+ )?(READ|WRITE|EXECUTE|COMMIT)} $line] ? $::service_ms : 0}]
    after $delay [list run_statement $name $channel $line]
}

proc send_text {channel text} {
    catch {puts -nonewline $channel $text}
}

proc run_statement {name channel line} {
    if {![info exists ::session($channel)]} {
        return
    }
    if {[regexp {^STARTUP (\S+) (\S+)( (\S+))?} $line -> service caller - endpoint_id]} {
        if {$service ne $::database || ($endpoint_id ne "" && $endpoint_id ne $name)} {
            send_text $channel "ERROR WRONGNODE $name\r\n"
            close_session $name $channel
            return
        }
        dict set ::session($channel) caller $caller
    } elseif {[regexp {^QUERY ([^ ]+) (.*)$} $line -> query_id text]} {
        set answer [execute $name $channel $query_id $text]
        # A write whose answer is lost was executed; its connection is closed.
        if {$::answers_to_lose > 0 && [regexp {^(AFTER \S+ )?WRITE} $text] &&
            [string match "COMPLETE*" $answer]} {
            incr ::answers_to_lose -1
            close_session $name $channel
            return
        }
        send_text $channel $answer
    }
    send_text $channel "READY [dict get $::session($channel) state] [position $name]\r\n"
    dict set ::session($channel) busy 0
    run_next $name $channel
}

# Returns an error answer. It aborts the transaction of the session, if any.
proc error_answer {channel code} {
    if {[dict get $::session($channel) state] eq "T"} {
        dict set ::session($channel) state E
    }
    return "ERROR $code standin\r\n"
}

# Takes the first word, which ends at the first blank, off the text in a variable
# and returns it. What follows that blank keeps all its bytes.
proc take_word {variable} {
    upvar 1 $variable text
    set end [string first " " $text]
    if {$end < 0} {
        set end [string length $text]
    }
    set word [string range $text 0 [expr {$end - 1}]]
    set text [string range $text [expr {$end + 1}] end]
    return $word
}

# Records a run. Of its exact form, the query id, the text without AFTER, the shape
# that an EXECUTE ran ("" of others) and the names and values of the session are in
# hexadecimal; the last element is the number of the transaction, 0 outside one.
proc record_run {name channel query_id command detail text shape} {
    upvar #0 session($channel) session
    lappend ::executed [list $query_id $command $name $detail]
    set bytes [list $query_id $text $shape]
    lappend ::executed_texts [concat \
        [lmap item $bytes { binary encode hex $item }] \
        [list [lmap item [dict get $session variables] { binary encode hex $item }] \
            [expr {[dict get $session state] eq "T" ? [dict get $session transaction] : 0}]]]
}

# Executes a statement and returns its answer without the READY line.
proc execute {name channel query_id text} {
    upvar #0 session($channel) session
    if {[regexp {^AFTER (\d+)\.(\d+) (.*)$} $text -> term number text]} {
        set log [dict get $::endpoints $name log]
        if {$term > [dict get $::endpoints $name term] ||
            $number > [llength $log]} {
            return [error_answer $channel LAGGING]
        }
    }
    set is_primary [expr {[dict get $::endpoints $name role] eq "primary"}]
    set rest $text
    set shape ""
    set command [take_word rest]
    switch -- $command {
        BEGIN {
            if {!$is_primary && $rest ne "READ"} {
                return [error_answer $channel READONLY]
            }
            dict set session state T
            dict set session transaction [incr ::transaction_count]
            dict set session writes {}
            return "COMPLETE -\r\n"
        }
        COMMIT {
            commit $name [dict get $session writes]
            record_run $name $channel $query_id commit \
                [llength [dict get $session writes]] $text ""
            dict set session state I
            dict set session writes {}
            return "COMPLETE sig.$name.$query_id\r\n"
        }
        ROLLBACK {
            dict set session state I
            dict set session writes {}
            return "COMPLETE -\r\n"
        }
        SET {
            dict set session variables [take_word rest] $rest
            return "COMPLETE -\r\n"
        }
        PREPARE {
            dict set session prepared [take_word rest] $rest
            return "COMPLETE -\r\n"
        }
        DISCARD {
            dict set session prepared {}
            dict set session variables {}
            return "COMPLETE -\r\n"
        }
        STATUS - STEPDOWN {
            if {$command eq "STEPDOWN"} {
                step_down $name $rest
            }
            return "DATAROW [dict get $::endpoints $name role] [dict get $::endpoints $name term] [position $name] [dict get $::endpoints $name term] 0 0 1\r\nCOMPLETE -\r\n"
        }
        EXECUTE {
            set statement [take_word rest]
            if {![dict exists $session prepared $statement]} {
                return [error_answer $channel NOSTMT]
            }
            set shape [dict get $session prepared $statement]
            set command [lindex [split $shape " "] 0]
        }
    }
    if {$command ni {READ WRITE}} {
        return [error_answer $channel MALFORMED]
    }
    if {$command eq "WRITE" && !$is_primary} {
        return [error_answer $channel READONLY]
    }
    record_run $name $channel $query_id $command [dict get $session variables] \
        $text $shape
    lappend ::callers $query_id [dict get $session caller]
    if {$command eq "READ"} {
        # The item of a READ extends to the end of the line.
        set item [expr {$shape eq "" ? $rest : [take_word rest]}]
        set row "DATAROW [value_of $name $item]\r\n"
        return "[string repeat $row $::rows]COMPLETE sig.$name.$query_id\r\n"
    }
    set write [list [take_word rest] $rest $query_id]
    if {[dict get $session state] eq "T"} {
        dict set session writes [concat [dict get $session writes] [list $write]]
    } else {
        commit $name [list $write]
    }
    return "COMPLETE sig.$name.$query_id\r\n"
}

# The control connection.

proc run_command {channel line} {
    lassign $line command argument
    switch -- $command {
        kill { kill_endpoint $argument; return ok }
        start { start_endpoint $argument; return ok }
        leave {
            dict set ::endpoints $argument state draining
            register $argument
            return ok
        }
        isolate {
            dict set ::endpoints $argument isolated [lindex $line 2]
            return ok
        }
        withdraw { delete_key servers/$argument; return ok }
        config { put_key op/config [string range $line 7 end]; return ok }
        store { set ::store_mode $argument; return ok }
        odd { put_key $argument [lindex $line 2]; return ok }
        deep { put_key $argument [string repeat \[ [lindex $line 2]]; return ok }
        long { put_key $argument [string repeat x [lindex $line 2]]; return ok }
        stale {
            set ::stale_store [expr {$argument ? $::store : ""}]
            return ok
        }
        deaf { set ::watches_deaf $argument; return ok }
        twice { set ::duplicate_answers $argument; return ok }
        work { set ::service_ms $argument; return ok }
        rows { set ::rows $argument; return ok }
        primary { return [find_primary] }
        runs { return $::executed }
        texts { return $::executed_texts }
        keep {
            commit [find_primary] \
                [list [list $argument [binary decode hex [lindex $line 2]] -]]
            return ok
        }
        callers { return $::callers }
        lists { return $::range_reads }
        reads { return $::config_reads }
        lose { set ::answers_to_lose $argument; return ok }
        unaware { set ::unaware $argument; return ok }
        overlap {
            set ::unaware 1
            set ::notice_ms $argument
            return ok
        }
        hold { set ::held_host $argument; return ok }
        held { return [list_held] }
        deliver { deliver_held; return ok }
        promote { set ::promote_ms $argument; return ok }
        unanswered {
            set ::answers_to_omit $argument
            set ::omission [lindex $line 2]
            return ok
        }
        events { return $::events }
        register { register $argument; return ok }
        late { return $::late_keys }
        log { return [dict get $::endpoints $argument log] }
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
    if {[catch {run_command $channel $line} answer]} {
        puts stderr $::errorInfo
        set answer "error: $answer"
    }
    puts $channel [string map {\n " " \r " "} $answer]
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
        zone $zone role $role term $first_term log {} state ready channels {} up 0 isolated 0]
    start_endpoint $name
}
vwait forever
