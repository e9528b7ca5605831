# Texts of all bytes that the platform's wire protocol allows. What an endpoint runs
# must be what a client sent, byte for byte, and rows must come back in the same way.
# A text with a line feed must be refused, and not run in part: there are endpoints
# that end a message at one.

namespace eval texts {
    variable number 0 ;# of the last query
    variable sent [dict create] ;# query id to what its client sent
    variable faults {}
    variable transactions 0 ;# begun by clients
    # Channels: the bytes received, and the state of the session: `values`,
    # `prepared` (name to shape), `transaction` (0: none).
    variable input
    variable session
}

# Kinds of texts: name, text, how it is cut into packets: "whole", "end" (a pause
# between the last CR and LF) or "pieces".
set texts::long [string repeat "[string repeat x 998]\n " 100]
set texts::kinds [list \
    plain                 "x"                                    whole \
    one-blank-at-end      "x "                                   whole \
    two-blanks-at-end     "x  "                                  whole \
    blank-at-end-cut      "x "                                   end \
    cr-at-end             "x\r"                                  whole \
    cr-at-end-cut         "x\r"                                  end \
    two-crs-at-end        "x\r\r"                                whole \
    lf-at-end             "x\n"                                  whole \
    lf-at-end-cut         "x\n"                                  end \
    lf-inside             "x\ny"                                 whole \
    cr-inside             "x\ry"                                 whole \
    lf-cr-inside          "x\n\ry"                               whole \
    tabs                  "\tx\ty\t"                             whole \
    blank-at-begin        " x"                                   whole \
    two-blanks-inside     "x  y"                                 whole \
    like-a-message        "x\nQUERY nobody WRITE foreign v"      whole \
    like-a-message-cut    "x\nQUERY nobody WRITE foreign v"      end \
    like-an-answer        "x\nREADY I -"                         whole \
    other-bytes           "\xe9\xc3\xbc\xff\x01\x7f\x80"         whole \
    long-without-lf       [string repeat "xy  " 25000]z          pieces \
    long                  $texts::long                           pieces]

# Forms of statements, see `run_forms`.
set texts::statement_forms {
    read          {{READ @}}
    write         {{WRITE k @}}
    execute-read  {{PREPARE s READ q} {EXECUTE s @}}
    execute-write {{PREPARE s WRITE q} {EXECUTE s k @}}
    read-within   {BEGIN {WRITE k v} {READ @} COMMIT}
    write-within  {BEGIN {WRITE k @} {WRITE k v} COMMIT}
    both-within   {{PREPARE s WRITE q} BEGIN {EXECUTE s k @} {READ @} {WRITE k @} COMMIT}
    read-only     {{PREPARE s READ q} {BEGIN READ} {EXECUTE s @} {READ @} COMMIT}
}

# Takes the first word, which ends at the first blank, off the text in a variable
# and returns it.
proc texts::take_word {variable} {
    upvar 1 $variable text
    set end [string first " " $text]
    if {$end < 0} {
        set end [string length $text]
    }
    set word [string range $text 0 [expr {$end - 1}]]
    set text [string range $text [expr {$end + 1}] end]
    return $word
}

# Returns a text in a form for messages: short and printable.
proc texts::show {text} {
    set text [string map {\r \\r \n \\n \t \\t} $text]
    regsub -all {[^ -~]} $text ? text
    if {[string length $text] > 60} {
        set text "[string range $text 0 40]...[string range $text end-9 end]\
            ([string length $text])"
    }
    return "\"$text\""
}

proc texts::fault {message} {
    variable faults
    lappend faults $message
}

# Sends bytes, cut into packets as `packets` says.
proc texts::send {channel bytes packets} {
    set cuts {}
    switch -- $packets {
        end { lappend cuts [expr {[string length $bytes] - 1}] }
        pieces {
            for {set i 7000} {$i < [string length $bytes]} {incr i 7000} {
                lappend cuts $i
            }
        }
    }
    set start 0
    foreach cut $cuts {
        puts -nonewline $channel [string range $bytes $start [expr {$cut - 1}]]
        set start $cut
        after [expr {$packets eq "end" ? 20 : 1}]
        update
    }
    puts -nonewline $channel [string range $bytes $start end]
}

# Returns the next complete answer as a list of messages, of which READY is the
# last; "closed" if the connection has closed, or "" if none has come.
proc texts::poll {channel} {
    variable input
    if {[catch {append input($channel) [read $channel]}]} {
        return closed
    }
    set messages {}
    set start 0
    while {[set end [string first "\r\n" $input($channel) $start]] >= 0} {
        set message [string range $input($channel) $start [expr {$end - 1}]]
        set start [expr {$end + 2}]
        lappend messages $message
        if {[string match "READY *" $message]} {
            set input($channel) [string range $input($channel) $start end]
            return $messages
        }
    }
    return [expr {[eof $channel] ? "closed" : ""}]
}

# Waits for an answer; "silent" if none comes.
proc texts::receive {channel} {
    set deadline [expr {[clock milliseconds] + 2500}]
    while {[set answer [poll $channel]] eq ""} {
        if {[clock milliseconds] > $deadline} {
            return silent
        }
        after 1
        update
    }
    return $answer
}

# Begins a session and returns its channel.
proc texts::start_session {host database} {
    variable input
    variable session
    set channel [socket [fleet::ip $host] 7000]
    fconfigure $channel -translation binary -buffering none -blocking 0
    set input($channel) ""
    set session($channel) [dict create values {} prepared {} transaction 0]
    send $channel "STARTUP $database tester\r\n" whole
    return $channel
}

# Opens a session and returns its channel. Fails if it isn't served.
proc texts::connect {host database} {
    set channel [start_session $host $database]
    set answer [receive $channel]
    if {![string match "READY I *" [lindex $answer 0]]} {
        disconnect $channel
        error "session not started: $answer"
    }
    return $channel
}

proc texts::disconnect {channel} {
    variable input
    variable session
    unset -nocomplain input($channel) session($channel)
    catch {close $channel}
}

# Sends a query and records what an endpoint may run for it. `label` names the
# case in messages. Returns the query's id.
proc texts::start_query {channel text label {packets whole} {id ""}} {
    variable number
    variable sent
    variable session
    if {$id eq ""} {
        set id t[incr number]
    }
    set rest $text
    set command [take_word rest]
    set shape ""
    if {$command eq "EXECUTE"} {
        set name [take_word rest]
        if {[dict exists $session($channel) prepared $name]} {
            set shape [dict get $session($channel) prepared $name]
        }
    }
    dict set sent $id [dict create label $label text $text shape $shape \
        values [dict get $session($channel) values] outcome closed \
        transaction [dict get $session($channel) transaction]]
    send $channel "QUERY $id $text\r\n" $packets
    return $id
}

# Applies the answer to a query to its session and checks that it belongs to the
# query. Returns a list: outcome (done, an error code, silent or closed), rows, state.
proc texts::end_query {channel id messages} {
    variable sent
    variable session
    variable transactions
    set query [dict get $sent $id]
    set label "[dict get $query label]: [show [dict get $query text]]"
    set rows {}
    set signature ""
    set outcome [lindex $messages 0]
    foreach message $messages {
        set rest $message
        switch -- [take_word rest] {
            DATAROW { lappend rows $rest }
            COMPLETE {
                set outcome done
                set signature $rest
            }
            ERROR { set outcome [lindex [split $rest " "] 0] }
            READY { set state [string index $rest 0] }
        }
    }
    dict set sent $id outcome $outcome
    if {$outcome in {closed silent}} {
        return [list $outcome {} ""]
    }
    if {$outcome eq "NOSTMT" && [dict get $query shape] ne ""} {
        fault "$label: its prepared statement is unknown"
    }
    set rest [dict get $query text]
    set command [take_word rest]
    set reads [expr {$command eq "READ" || ($command eq "EXECUTE" &&
        [string match "READ *" [dict get $query shape]])}]
    if {$outcome eq "done"} {
        set signed [expr {$command in {READ WRITE EXECUTE COMMIT}}]
        if {$signed ? ![regexp {^sig\.e-\d\.(.*)$} $signature -> own] || $own ne $id
            : $signature ne "-"} {
            fault "$label was answered with [show $signature]"
        }
        if {[llength $rows] != $reads} {
            fault "$label was answered with [llength $rows] rows"
        }
        switch -- $command {
            SET { dict set session($channel) values [take_word rest] $rest }
            PREPARE { dict set session($channel) prepared [take_word rest] $rest }
            BEGIN { dict set session($channel) transaction [incr transactions] }
        }
    }
    if {$state eq "I"} {
        dict set session($channel) transaction 0
    }
    return [list $outcome $rows $state]
}

# Runs a query and returns its outcome, its rows and the state after it.
proc texts::query {channel text label {packets whole} {id ""}} {
    set id [start_query $channel $text $label $packets $id]
    return [end_query $channel $id [receive $channel]]
}

# Returns a text without the name of a prepared statement, which the system may
# change.
proc texts::unnamed {text} {
    return [regsub {^EXECUTE [^ ]+} $text EXECUTE]
}

proc texts::bytes {hex} {
    return [binary decode hex $hex]
}

# Checks all runs of the endpoints against what clients sent: the text, the shape,
# the values, whether it was in a transaction, and that transactions were not mixed.
# A statement that was served did run, and one that was refused did not: with faults
# of processes (`calm` is 0) this holds for writes outside transactions only, as the
# others may run again elsewhere or be rolled back.
# The faults found here precede those of answers.
proc texts::check_runs {calm} {
    variable sent
    variable faults
    set answer_faults $faults
    set faults {}
    set runs [dict create]
    set owners [dict create]
    foreach run [wire::control texts] {
        lassign $run id text shape values transaction
        set id [bytes $id]
        set text [bytes $text]
        if {![dict exists $sent $id]} {
            fault "[show $text] ran with the id [show $id], which no client sent"
            continue
        }
        dict incr runs $id
        set query [dict get $sent $id]
        set label "[dict get $query label]: [show [dict get $query text]]"
        if {[unnamed $text] ne [unnamed [dict get $query text]]} {
            fault "$label ran as [show $text]"
        }
        set shape [bytes $shape]
        if {$shape ne [dict get $query shape]} {
            fault "$label ran the shape [show $shape], prepared was\
                [show [dict get $query shape]]"
        }
        set values [lmap item $values { bytes $item }]
        if {[lsort -stride 2 $values] ne [lsort -stride 2 [dict get $query values]]} {
            fault "$label ran with the values [show $values], set were\
                [show [dict get $query values]]"
        }
        set expected [dict get $query transaction]
        if {($transaction != 0) != ($expected != 0)} {
            fault "$label ran [expr {$expected ? "outside its" : "in another"}] transaction"
        } elseif {$transaction != 0} {
            if {[dict exists $owners $transaction] &&
                [dict get $owners $transaction] != $expected} {
                fault "$label ran in the transaction of another client"
            }
            dict set owners $transaction $expected
        }
    }
    dict for {id query} $sent {
        set label "[dict get $query label]: [show [dict get $query text]]"
        set count [expr {[dict exists $runs $id] ? [dict get $runs $id] : 0}]
        set outcome [dict get $query outcome]
        if {$outcome eq "done" && $count == 0 &&
            [regexp {^(READ|WRITE|EXECUTE|COMMIT)} [dict get $query text]]} {
            fault "$label was acknowledged and did not run"
        }
        if {$count > 0 && $outcome in {BUSY ABORTED LAGGING READONLY NOSTMT MALFORMED TOOLARGE} &&
            ($calm || ([dict get $query transaction] == 0 &&
                [regexp {^WRITE } "[dict get $query shape][dict get $query text]"]))} {
            fault "$label was refused with $outcome and ran"
        }
    }
    lappend faults {*}$answer_faults
}

proc texts::expect_no_faults {} {
    variable faults
    variable sent
    set file [open [fleet::log_file faults] w]
    puts $file [join $faults \n]
    close $file
    expect {[llength $faults] == 0} "\[llength \$faults\] faults in\
        \[dict size \$sent\] queries, see faults.log; the first are:\
        \[join \[lrange \$faults 0 4\] {; }\]"
}

# Starts three hosts and waits until each serves writes.
proc texts::fleet {} {
    variable sent [dict create]
    variable faults {}
    wire::fleet
    foreach host {host1 host2 host3} {
        set channel [connect $host pay]
        eventually {[lindex [texts::query $channel "WRITE ready x" "$host, first"] 0] eq "done"}
        disconnect $channel
    }
}

# Sends the statements of a case in a session of its own and, last, an ordinary
# read, whose answer must be its own. A case ends at the first one that is refused,
# as each with a line feed must be.
proc texts::run_case {host database label packets statements} {
    variable session
    set channel [connect $host $database]
    foreach statement [concat $statements [list "READ last"]] {
        set outcome [lindex [query $channel $statement $label $packets] 0]
        set has_line_feed [expr {[string first \n $statement] >= 0}]
        if {$outcome eq "done" && !$has_line_feed} {
            continue
        }
        if {$outcome ne "MALFORMED" || !$has_line_feed} {
            fault "$label: [show $statement] was not\
                [expr {$has_line_feed ? "refused" : "served"}]: $outcome"
            break
        }
        if {[dict get $session($channel) transaction] != 0} {
            query $channel ROLLBACK $label
        }
        if {[lindex [query $channel "READ last" $label] 0] ne "done"} {
            fault "$label: the next statement was not served"
        }
        break
    }
    disconnect $channel
}

# Runs each form, a list of statements in which @ stands for the text, with each
# kind of text at each host.
proc texts::run_forms {forms} {
    variable kinds
    foreach {host database} {host1 pay host2 own host3 old} {
        foreach {form statements} $forms {
            foreach {kind text packets} $kinds {
                run_case $host $database "$host, $form, $kind" $packets \
                    [lmap statement $statements { string map [list @ $text] $statement }]
            }
        }
    }
    check_runs 1
    expect_no_faults
}

# Guards against statements that run with a changed text, in particular cut at a line
# feed or without the blanks and carriage returns at their end.
scenario wire-texts-unchanged \
    "statements whose texts hold or end in blanks, CR, LF, tabs and other bytes" {
    texts::fleet
    texts::run_forms $texts::statement_forms
}

# Guards against prepared statements that run another shape than was prepared, and
# statements that run under other session values than were set.
scenario wire-shapes-and-values-unchanged \
    "shapes and session values that hold or end in blanks, CR, LF and other bytes" {
    texts::fleet
    texts::run_forms {
        shape-read     {{PREPARE s READ @} {EXECUTE s k}}
        shape-write    {{PREPARE s WRITE @} {EXECUTE s k v}}
        two-shapes     {{PREPARE s READ x} {PREPARE t READ @} {EXECUTE s k} {EXECUTE t k}}
        shape-late     {BEGIN {WRITE k v} {PREPARE s WRITE @} {EXECUTE s k v} COMMIT}
        value          {{SET zone @} {READ k} {WRITE k v}}
        value-late     {BEGIN {WRITE k v} {SET zone @} {WRITE k v} COMMIT}
        two-values     {{SET zone @} {SET area @} {PREPARE s WRITE q} {EXECUTE s k v}}
        value-name     {{SET n@ v} {READ k}}
    }
}

# Guards against a COMMIT with other bytes at its end that runs as a plain one. It may
# be refused; its writes are then not committed.
scenario wire-commit-unchanged "a COMMIT that ends in a blank, CR, LF or tab" {
    texts::fleet
    set writes [dict create]
    foreach host {host1 host2 host3} {
        foreach {kind end packets} {
            plain "" whole  blank " " whole  two-blanks "  " whole  cr "\r" whole
            cr-cut "\r" end  two-crs "\r\r" whole  lf "\n" whole  lf-cut "\n" end  tab "\t" whole
        } {
            set label "$host, commit, $kind"
            set key c[llength [dict keys $writes]]
            set channel [texts::connect $host pay]
            foreach statement [list BEGIN "WRITE $key v"] {
                expect {[lindex [texts::query $channel $statement $label] 0] eq "done"} $label
            }
            set outcome [lindex [texts::query $channel "COMMIT$end" $label $packets] 0]
            expect {$outcome in {done MALFORMED}} "$label: $outcome"
            dict set writes $key [list $label $outcome]
            if {$outcome ne "done"} {
                texts::query $channel "ROLLBACK" $label
            }
            if {[lindex [texts::query $channel "READ last" $label] 0] ne "done"} {
                texts::fault "$label: the next statement was not served"
            }
            texts::disconnect $channel
        }
    }
    texts::check_runs 1
    set keys [lmap entry [wire::control log [wire::control primary]] { lindex $entry 1 }]
    dict for {key write} $writes {
        lassign $write label outcome
        if {($key in $keys) != ($outcome eq "done")} {
            texts::fault "$label: $outcome, but in the log: [expr {$key in $keys}]"
        }
    }
    texts::expect_no_faults
}

# Runs a query whose id must be refused, after which the session must be in `state`
# and in step.
proc texts::run_refused {channel text label id state} {
    lassign [query $channel $text $label whole $id] outcome rows found
    if {$outcome ne "MALFORMED" || $found ne $state} {
        fault "$label: $text was answered with $outcome, state $found, not $state"
    }
}

# Guards against ids that are changed or that split a message, and against
# transactions that are committed without a statement whose id was refused.
scenario wire-ids-unchanged "query ids that hold or end in CR, LF, tabs and other bytes" {
    texts::fleet
    set number 0
    set failed {}
    foreach host {host1 host2 host3} {
        foreach {kind end is_refused} [list \
            plain x 0  cr \r 0  two-crs \r\r 0  lf \n 1  lf-inside \nx 1  cr-inside \rx 0 \
            tab \tx 0  like-a-message \nQUERY\tx 1  other-bytes \xe9\xff\x01 0 \
            too-long [string repeat x 100] 1] {
            set label "$host, $kind"
            set channel [texts::connect $host own]
            foreach text {"READ k" "WRITE k v" BEGIN "WRITE k v" COMMIT "READ last"} {
                set id i[incr number]$end
                if {$is_refused} {
                    texts::run_refused $channel $text $label $id I
                    continue
                }
                set outcome [lindex [texts::query $channel $text $label whole $id] 0]
                if {$outcome ne "done"} {
                    texts::fault "$label: $text was not served: $outcome"
                    break
                }
            }
            foreach text {"READ k" "WRITE k v" COMMIT ROLLBACK} {
                if {!$is_refused} {
                    break
                }
                set key f[incr number]
                lappend failed $key
                foreach {statement expected} [list BEGIN {done T} "WRITE $key v" {done T} \
                    "" "" COMMIT {ABORTED I} "READ last" {done I}] {
                    if {$statement eq ""} {
                        texts::run_refused $channel $text $label i[incr number]$end E
                        continue
                    }
                    lassign [texts::query $channel $statement $label] outcome rows state
                    if {[list $outcome $state] ne $expected} {
                        texts::fault "$label: with $text refused, $statement was answered with\
                            $outcome, state $state, not $expected"
                    }
                }
            }
            texts::disconnect $channel
        }
    }
    texts::check_runs 1
    foreach entry [wire::control log [wire::control primary]] {
        if {[lindex $entry 1] in $failed} {
            texts::fault "[lindex $entry 1] was committed without a statement that was refused"
        }
    }
    texts::expect_no_faults
}

# Guards against rows that are changed on their way back, or that end an answer.
scenario wire-rows-unchanged \
    "rows that hold or end in blanks, CR, LF, tabs, and texts like answers" {
    texts::fleet
    set rows [concat $texts::kinds [list \
        like-complete "x\nCOMPLETE sig.e-1.nobody\nREADY I -" whole \
        like-error "x\nERROR FAILED y" whole empty "" whole blank " " whole cr "\r" whole]]
    foreach {kind data packets} $rows {
        wire::control keep row-$kind [binary encode hex $data]
    }
    after 500
    foreach {host database} {host1 pay host2 own host3 old} {
        foreach {kind data packets} $rows {
            set label "$host, $kind"
            set channel [texts::connect $host $database]
            foreach {statement has_row} [list \
                "READ row-$kind" 1  "PREPARE s READ q" 0  "EXECUTE s row-$kind" 1 \
                "BEGIN READ" 0  "READ row-$kind" 1  COMMIT 0  "READ row-plain" 0] {
                lassign [texts::query $channel $statement $label] outcome found
                if {$outcome ne "done"} {
                    texts::fault "$label: $statement was not served: $outcome"
                    break
                }
                if {$has_row && $found ne [list $data]} {
                    texts::fault "$label: $statement returned [texts::show $found]"
                }
            }
            texts::disconnect $channel
        }
    }
    texts::check_runs 1
    texts::expect_no_faults
}

# The soak. Its clients are dictionaries: host, database, channel ("" if there is
# none), `pending` (the id of the query sent, "start", or ""), `since` (when that was
# sent, or when to connect), `plan` (the next statements).

# Returns a text of a few bytes, mostly those that delimit messages and words. One in
# four may hold line feeds, since texts with these are refused.
proc texts::random_text {} {
    set text ""
    set line_feed [expr {[soak::random_below 4] == 0 ? "\n" : "\r"}]
    for {set i [expr {1 + [soak::random_below 10]}]} {$i > 0} {incr i -1} {
        append text [soak::random_element [list " " " " \r $line_feed $line_feed \t a b c d e f]]
    }
    # CR LF would end the message.
    while {[string first \r\n $text] >= 0} {
        set text [string map {\r\n \r} $text]
    }
    return $text
}

# Returns a random operation: a list of statements.
proc texts::random_operation {} {
    set statements {}
    set count [expr {1 + [soak::random_below 4]}]
    for {set i 0} {$i < $count} {incr i} {
        set name [soak::random_element {s1 s2 s3}]
        lappend statements [soak::random_element [list \
            "READ [random_text]" "WRITE k$i [random_text]" "WRITE k$i [random_text]" \
            "PREPARE $name READ [random_text]" "PREPARE $name WRITE [random_text]" \
            "EXECUTE $name k$i [random_text]" "EXECUTE $name [random_text]" \
            "EXECUTE $name k$i [random_text]" "SET $name [random_text]"]]
    }
    switch -- [soak::random_below 6] {
        0 - 1 { return [list BEGIN {*}$statements COMMIT] }
        2 { return [list "BEGIN READ" {*}$statements COMMIT] }
        3 { return [list BEGIN {*}$statements [soak::random_element {ROLLBACK leave}]] }
        default { return $statements }
    }
}

proc texts::close_client {variable} {
    upvar 1 $variable client
    disconnect [dict get $client channel]
    set client [dict merge $client [list channel "" pending "" plan {} \
        since [expr {[clock milliseconds] + 100}]]]
}

# Takes the next step of a client, if it isn't waiting.
proc texts::step_client {variable} {
    upvar 1 $variable client
    variable session
    set now [clock milliseconds]
    set channel [dict get $client channel]
    set pending [dict get $client pending]
    if {$channel eq ""} {
        if {$now >= [dict get $client since]} {
            dict set client since [expr {$now + 100}]
            if {![catch {start_session [dict get $client host] [dict get $client database]} channel]} {
                set client [dict merge $client [list channel $channel pending start since $now]]
            }
        }
        return
    }
    set answer [poll $channel]
    if {$answer eq "" && $pending ne ""} {
        if {$now - [dict get $client since] > 6000} {
            close_client client
        }
        return
    }
    if {$pending eq "start"} {
        dict set client pending ""
        if {![string match "READY I *" [lindex $answer 0]]} {
            close_client client
        }
        return
    }
    if {$pending ne ""} {
        dict set client pending ""
        set outcome [lindex [end_query $channel $pending $answer] 0]
        if {$outcome eq "closed"} {
            close_client client
        } elseif {$outcome ne "done" && [dict get $session($channel) transaction] != 0} {
            dict set client plan ROLLBACK
        }
        return
    }
    if {$answer ne ""} {
        if {$answer ne "closed"} {
            fault "[dict get $client host]: an answer to nothing: [show $answer]"
        }
        close_client client
        return
    }
    if {[llength [dict get $client plan]] == 0} {
        dict set client plan [random_operation]
    }
    dict set client plan [lassign [dict get $client plan] statement]
    if {$statement eq "leave"} {
        close_client client
        return
    }
    dict set client since $now
    dict set client pending [start_query $channel $statement [dict get $client host] \
        [soak::random_element {whole whole whole whole whole end}]]
}

# Sends SIGTERM to a host and starts it again as soon as it has exited.
proc texts::restart_host {host} {
    if {[fleet::is_running $host] && ![dict exists $soak::faulted $host]} {
        dict set soak::faulted $host 1
        soak::log_fault "stop $host"
        fleet::signal $host TERM
        soak::schedule 50 texts::start_stopped_host $host
    }
}

proc texts::start_stopped_host {host} {
    if {[fleet::is_running $host]} {
        soak::schedule 50 texts::start_stopped_host $host
        return
    }
    soak::restart_host $host
}

# Kills the primary, unless another endpoint is down, and starts it again later.
proc texts::kill_primary {} {
    set primary [wire::control primary]
    if {$primary ne "" && ![dict exists $soak::faulted endpoint]} {
        dict set soak::faulted endpoint 1
        soak::log_fault "kill $primary"
        wire::control kill $primary
        soak::schedule 1500 wire::control start $primary
        soak::schedule 2500 soak::release endpoint
    }
}

# Guards against changed texts, mixed transactions and answers to other queries
# while hosts are restarted and primaries killed, also at the same time.
scenario wire-texts-soak \
    "random texts and transactions while hosts are restarted and primaries killed" {
    texts::fleet
    expr {srand($fleet::seed)}
    set soak::faulted [dict create]
    set soak::errors {}
    set soak::fault_log {}
    for {set time 1500} {$time < 24000} {incr time [expr {1500 + [soak::random_below 2500]}]} {
        soak::schedule $time texts::restart_host [soak::random_element $soak::hosts]
    }
    for {set time 2000} {$time < 24000} {incr time [expr {3000 + [soak::random_below 2500]}]} {
        soak::schedule $time texts::kill_primary
    }
    set clients {}
    foreach host $soak::hosts {
        foreach database {pay own old} {
            lappend clients [dict create host $host database $database channel "" \
                pending "" since 0 plan {}]
        }
    }
    set begin [clock milliseconds]
    while {[clock milliseconds] - $begin < 26000} {
        set clients [lmap client $clients {
            texts::step_client client
            set client
        }]
        after 2
        update
    }
    foreach client $clients {
        if {[dict get $client channel] ne ""} {
            texts::disconnect [dict get $client channel]
        }
    }
    soak::await_faults_end
    expect {$soak::errors eq {}} $soak::errors
    texts::check_runs 0
    set counts [dict create]
    foreach entry [wire::control log [wire::control primary]] {
        set id [lindex $entry 3]
        if {[dict incr counts $id] == 2} {
            texts::fault "the write $id is in the log twice"
        }
    }
    set outcomes [dict create]
    dict for {id query} $texts::sent {
        dict incr outcomes [dict get $query outcome]
    }
    puts "faults: [join $soak::fault_log {, }]; outcomes: $outcomes"
    texts::expect_no_faults
    expect {[dict get $outcomes done] > 500} $outcomes
}
