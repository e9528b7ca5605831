# Checks the outcomes that callers received, as the journals of the load
# generators record them, against the logs of the databases' primaries.

namespace eval checker {
    # The fields of a journal's line; checker.test shows examples. `start` and
    # `end` are in microseconds.
    variable fields {start end session database kind type key statement
        outcome result asked_token token attempts}
}

# Parses a journal of the load generator. Returns a list of dictionaries, one
# for each request.
proc checker::parse_journal {text} {
    variable fields
    set rows {}
    foreach line [split [string trimright $text \n] \n] {
        set row [dict create]
        foreach field $fields value [split $line \t] {
            dict set row $field $value
        }
        lappend rows $row
    }
    return $rows
}

# Indexes the logs of the primaries, a dictionary from database to text. Returns
# a dictionary from DATABASE/KEY to the list of {statement result} of the log
# entries with this key. Type 1 marks statements (ENTRY_STATEMENT in
# src/carobwind-endpoint/database.h).
proc checker::index_logs {logs} {
    set index [dict create]
    dict for {database text} $logs {
        foreach line [split [string trimright $text \n] \n] {
            lassign [split $line \t] term type key statement result
            if {$type == 1 && $key ne ""} {
                dict lappend index $database/$key [list $statement $result]
            }
        }
    }
    return $index
}

# Checks the text of a load generator's journal against the logs of the primaries,
# a dictionary from database to text. Returns the list of violations, each a
# message.
proc checker::check {journal logs} {
    set rows [parse_journal $journal]
    set index [index_logs $logs]
    return [concat [check_writes $rows $index] [check_duplicates $index] \
        [check_transactions $logs] [check_answers $rows] [check_sessions $rows]]
}

# An acknowledged write must be in the log, one reported as notrun must not.
proc checker::check_writes {rows index} {
    set violations {}
    foreach row $rows {
        if {[dict get $row key] eq ""} {
            continue
        }
        set name [dict get $row database]/[dict get $row key]
        set present [dict exists $index $name]
        switch [dict get $row outcome] {
            done {
                if {!$present} {
                    lappend violations "acknowledged but lost: $name"
                }
            }
            notrun {
                if {$present} {
                    lappend violations "reported as notrun but executed: $name"
                }
            }
        }
    }
    return $violations
}

# A write must be in the log at most once.
proc checker::check_duplicates {index} {
    set violations {}
    dict for {name entries} $index {
        if {[llength $entries] > 1} {
            lappend violations "executed [llength $entries] times: $name"
        }
    }
    return $violations
}

# The log entry of a transaction must hold its two statements and no others. The
# load generator writes one value to pair.SESSION.a and pair.SESSION.b.
proc checker::check_transactions {logs} {
    set violations {}
    dict for {database text} $logs {
        foreach line [split [string trimright $text \n] \n] {
            lassign [split $line \t] term type key statement
            if {![string match "*pair.*" $statement]} {
                continue
            }
            set parts [split $statement |]
            if {[llength $parts] != 2 ||
                ![regexp {^put pair\.(\w+\.\d+)\.a (\d+)$} [lindex $parts 0] -> session value] ||
                [lindex $parts 1] ne "put pair.$session.b $value"} {
                lappend violations "mixed transaction: $statement"
            }
        }
    }
    return $violations
}

# A request must receive the answer to its own statement.
proc checker::check_answers {rows} {
    set violations {}
    foreach row $rows {
        if {[dict get $row outcome] ne "done"} {
            continue
        }
        lassign [split [dict get $row statement]] verb name value
        lassign [split [dict get $row result] =] answered_name answered_value
        if {[dict get $row type] eq "transaction"} {
            regexp {pair\.(\w+\.\d+)\.} $name -> session
            set expected "pair.$session.a=$value;pair.$session.b=$value"
            if {[dict get $row result] ne $expected} {
                lappend violations "answer to another request:\
                    [dict get $row result], not $expected"
            }
        } elseif {$answered_name ne $name ||
            ($verb eq "put" && $answered_value ne $value)} {
            lappend violations "answer to another request:\
                [dict get $row result] to [dict get $row statement]"
        }
    }
    return $violations
}

# A read with the token of its session (type "read") must not return data older
# than the acknowledged writes and earlier reads of the session. A read without
# the token ("readany") may. The load generator writes increasing numbers in each
# session, so that a lower value is older.
proc checker::check_sessions {rows} {
    set violations {}
    set latest [dict create]
    foreach row $rows {
        if {[dict get $row outcome] ne "done"} {
            continue
        }
        set session [dict get $row session]
        lassign [split [dict get $row statement]] verb name value
        if {[dict get $row type] eq "write"} {
            dict set latest $session $value
        } elseif {[dict get $row type] eq "read"} {
            set value_read [lindex [split [dict get $row result] =] 1]
            set minimum [expr {[dict exists $latest $session] ?
                [dict get $latest $session] : 0}]
            if {($value_read eq "" ? 0 : $value_read) < $minimum} {
                lappend violations "session $session wrote or read $minimum, then\
                    read \"$value_read\""
            }
            if {$value_read ne "" && $value_read > $minimum} {
                dict set latest $session $value_read
            }
        }
    }
    return $violations
}

# Checks the events of the platform's stand-in, in the order in which they
# happened, against the callers' outcomes, a dictionary from key to outcome. No
# commit of a term is acknowledged if another endpoint led a higher one before it.
# Fencing tokens don't decrease, and two holders don't use the same.
proc checker::check_promotions {events outcomes} {
    set violations {}
    set promoted ""
    set promoted_term 0
    set highest_fence 0
    set highest_holder ""
    foreach event $events {
        set fields [lassign $event time type]
        switch -- $type {
            order {
                lassign $fields holder endpoint fence
                if {$fence < $highest_fence} {
                    lappend violations "$holder orders the promotion of\
                        $endpoint with token $fence after token $highest_fence"
                } elseif {$fence == $highest_fence &&
                    $holder ne $highest_holder} {
                    lappend violations "$holder and $highest_holder order with\
                        token $fence"
                } else {
                    set highest_fence $fence
                    set highest_holder $holder
                }
            }
            promotion { lassign $fields promoted promoted_term }
            commit {
                lassign $fields endpoint term key
                if {$term < $promoted_term && [dict exists $outcomes $key] &&
                    [dict get $outcomes $key] eq "done"} {
                    lappend violations "committed at $endpoint in term $term\
                        after the promotion of $promoted in term\
                        $promoted_term, and acknowledged: $key"
                }
            }
        }
    }
    return $violations
}
