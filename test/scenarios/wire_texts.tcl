# Texts of all bytes that the platform's wire protocol allows. What an endpoint runs
# must be what a client sent, byte for byte, and rows must come back in the same way.
# A text with a line feed may be refused (endpoints may end a message at one), but
# must then not run in part; only wire-line-feeds-served asks that it is served.

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

# Opens a session and returns its channel. Fails if it isn't served.
proc texts::connect {host database} {
    variable input
    variable session
    set channel [socket [fleet::ip $host] 7000]
    fconfigure $channel -translation binary -buffering none -blocking 0
    set input($channel) ""
    set session($channel) [dict create values {} prepared {} transaction 0]
    send $channel "STARTUP $database tester\r\n" whole
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
    close $channel
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
# query. Returns a list: outcome (done, an error code, silent or closed), rows.
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
        return [list $outcome {}]
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
    return [list $outcome $rows]
}

# Runs a query and returns its outcome and its rows.
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
# A statement that was served did run, and one that was refused did not, unless in
# a transaction that was rolled back; without trouble (`calm`) not even there.
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
            ($calm || [dict get $query transaction] == 0)} {
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
    wire::fleet
    foreach host {host1 host2 host3} {
        set channel [connect $host pay]
        eventually {[lindex [texts::query $channel "WRITE ready x" "$host, first"] 0] eq "done"}
        disconnect $channel
    }
}

# Sends the statements of a case in a session of its own and, last, an ordinary
# read, whose answer must be its own. A case ends at the first one that isn't
# served; only one with a line feed may be refused, and only if `refusable`.
proc texts::run_case {host database label packets statements refusable} {
    variable session
    set channel [connect $host $database]
    foreach statement [concat $statements [list "READ last"]] {
        set outcome [lindex [query $channel $statement $label $packets] 0]
        if {$outcome eq "done"} {
            continue
        }
        if {$outcome ne "MALFORMED" || !$refusable || [string first \n $statement] < 0} {
            fault "$label: [show $statement] was not served: $outcome"
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
# kind of text that matches `pattern` at each host.
proc texts::run_forms {forms {pattern *} {refusable 1}} {
    variable kinds
    foreach {host database} {host1 pay host2 own host3 old} {
        foreach {form statements} $forms {
            foreach {kind text packets} $kinds {
                if {[string match $pattern $text]} {
                    run_case $host $database "$host, $form, $kind" $packets \
                        [lmap statement $statements { string map [list @ $text] $statement }] \
                        $refusable
                }
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

# Guards against refusals of texts that the protocol allows.
scenario wire-line-feeds-served "statements whose texts hold line feeds are served" {
    texts::fleet
    texts::run_forms $texts::statement_forms "*\n*" 0
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

# Guards against ids that are changed or that split a message.
scenario wire-ids-unchanged "query ids that hold or end in CR, LF, tabs and other bytes" {
    texts::fleet
    set number 0
    foreach host {host1 host2 host3} {
        foreach {kind end} {
            plain x  cr \r  two-crs \r\r  lf \n  lf-inside \nx  cr-inside \rx  tab \tx
            like-a-message \nQUERY\tx  other-bytes \xe9\xff\x01
        } {
            set channel [texts::connect $host own]
            foreach text {"READ k" "WRITE k v" BEGIN "WRITE k v" COMMIT "READ last"} {
                set outcome [lindex [texts::query $channel $text "$host, $kind" \
                    whole i[incr number]$end] 0]
                if {$outcome eq "MALFORMED" && [string first \n $end] >= 0} {
                    # Refused, and in step.
                    set outcome [lindex [texts::query $channel "READ last" "$host, $kind"] 0]
                    if {$outcome ne "done"} {
                        texts::fault "$host, $kind: the next statement was not served: $outcome"
                    }
                    break
                }
                if {$outcome ne "done"} {
                    texts::fault "$host, $kind: $text was not served: $outcome"
                    break
                }
            }
            texts::disconnect $channel
        }
    }
    texts::check_runs 1
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
