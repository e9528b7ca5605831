# Checks the outcomes that callers received against the logs of the endpoints.

namespace eval checker {
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

# Indexes the surviving logs, a dictionary from database to text. Returns a
# dictionary from DATABASE/KEY to the list of {statement result} of the entries
# with this key.
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

# Returns the list of violations, each a message.
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

# The entry of a transaction must hold its two statements and no others.
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
        lassign [split [dict get $row result] =] answered stored
        if {[dict get $row type] eq "transaction"} {
            regexp {pair\.(\w+\.\d+)\.} $name -> session
            set expected "pair.$session.a=$value;pair.$session.b=$value"
            if {[dict get $row result] ne $expected} {
                lappend violations "answer to another request:\
                    [dict get $row result], not $expected"
            }
        } elseif {$answered ne $name || ($verb eq "put" && $stored ne $value)} {
            lappend violations "answer to another request:\
                [dict get $row result] to [dict get $row statement]"
        }
    }
    return $violations
}

# A read must not return data older than the acknowledged writes and earlier
# reads of its session.
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
            set found [lindex [split [dict get $row result] =] 1]
            set minimum [expr {[dict exists $latest $session] ?
                [dict get $latest $session] : 0}]
            if {($found eq "" ? 0 : $found) < $minimum} {
                lappend violations "session $session wrote or read $minimum, then\
                    read \"$found\""
            }
            if {$found ne "" && $found > $minimum} {
                dict set latest $session $found
            }
        }
    }
    return $violations
}
