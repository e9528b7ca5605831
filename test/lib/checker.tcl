# Checks what callers were told against what the endpoints hold.

namespace eval checker {
    variable fields {start end session database kind type key statement
        outcome result asked_token token attempts}
}

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

# The surviving log: a list of {key statement result} of each database, and how
# often each key stands in it.
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

# Returns a list of violations, each a sentence.
proc checker::check {journal logs} {
    set rows [parse_journal $journal]
    set index [index_logs $logs]
    return [concat [check_writes $rows $index] [check_doubles $index] \
        [check_pairs $logs] [check_answers $rows] [check_sessions $rows]]
}

# Each acknowledged write is in the log once, and none that was told notrun.
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
                    lappend violations "told notrun but ran: $name"
                }
            }
        }
    }
    return $violations
}

proc checker::check_doubles {index} {
    set violations {}
    dict for {name entries} $index {
        if {[llength $entries] > 1} {
            lappend violations "ran [llength $entries] times: $name"
        }
    }
    return $violations
}

# A transaction's entry holds its own two statements and no other.
proc checker::check_pairs {logs} {
    set violations {}
    dict for {database text} $logs {
        foreach line [split [string trimright $text \n] \n] {
            lassign [split $line \t] term type key statement
            if {![string match "*pair.*" $statement]} {
                continue
            }
            set parts [split $statement |]
            if {[llength $parts] != 2 ||
                ![regexp {^put pair\.(\w+\.\d+)\.a (\d+)$} [lindex $parts 0] -> s v] ||
                [lindex $parts 1] ne "put pair.$s.b $v"} {
                lappend violations "mixed transaction: $statement"
            }
        }
    }
    return $violations
}

# Each answer is that of its own request.
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
                lappend violations "another's answer:\
                    [dict get $row result], not $expected"
            }
        } elseif {$answered ne $name || ($verb eq "put" && $stored ne $value)} {
            lappend violations "another's answer: [dict get $row result] to\
                [dict get $row statement]"
        }
    }
    return $violations
}

# A session's reads are not before its acknowledged writes, nor before what it
# read already.
proc checker::check_sessions {rows} {
    set violations {}
    set seen [dict create]
    foreach row $rows {
        if {[dict get $row outcome] ne "done"} {
            continue
        }
        set session [dict get $row session]
        lassign [split [dict get $row statement]] verb name value
        if {[dict get $row type] eq "write"} {
            dict set seen $session $value
        } elseif {[dict get $row type] eq "read"} {
            set found [lindex [split [dict get $row result] =] 1]
            set least [expr {[dict exists $seen $session] ?
                [dict get $seen $session] : 0}]
            if {($found eq "" ? 0 : $found) < $least} {
                lappend violations "session $session wrote or saw $least, then\
                    read \"$found\""
            }
            if {$found ne "" && $found > $least} {
                dict set seen $session $found
            }
        }
    }
    return $violations
}
