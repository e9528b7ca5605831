# Output and exit codes of carobwindctl, and the checks of the programs'
# settings.

# Runs a command and returns its exit code and its output.
proc run_command {args} {
    set code 0
    if {[catch {exec {*}$args 2>@1} output options]} {
        set code [lindex [dict get $options -errorcode] 2]
    }
    return [list $code $output]
}

# Runs carobwindctl against the platform and host1.
proc run_tool {args} {
    return [run_command [file join $fleet::bin carobwindctl] \
        --platform=[dict get $fleet::settings platform address] \
        --host=[dict get $fleet::settings host1 peers] {*}$args]
}

scenario tool-checks "check reports all findings of a file with their lines" {
    fleet -start 0
    set path [file join $fleet::dir bad.conf]
    set file [open $path w]
    puts $file "data-centre n \{ region = \"r\" \}
rank urgent \{ floor = 101 \}
colour = 3
kind pay \{ rank = \"slow\" age = \"soon\" \}
database d \{
    endpoint a \{ data-centre = \"nowhere\" address = \"here\" connections = 0 slots = 3 \}
\}"
    close $file
    lassign [run_command [file join $fleet::bin carobwindctl] check $path] \
        code output
    expect {$code == 65} $code
    foreach part {":2: floor is 101" ":3: no such option 'colour'"
            ":4: rank \"slow\"" ":4: age \"soon\"" ":6: connections is 0"
            ":6: address \"here\"" ":6: endpoint \"a\" is in the unknown data-centre \"nowhere\""} {
        expect {[string first $part $output] >= 0} "$part not in $output"
    }
    lassign [run_command [file join $fleet::bin carobwindctl] check \
        [file join $fleet::root examples tadla.conf]] code output
    expect {$code == 0} $output
    lassign [run_command [file join $fleet::bin carobwindctl] check \
        /nonexistent] code output
    expect {$code == 66} $code
    lassign [run_command [file join $fleet::bin carobwindctl] \
        unknown-command] code output
    expect {$code == 64} $code
}

scenario tool-shows \
    "status, explain, trace and counters print tables and JSON" {
    package require json
    fleet -hosts 3
    set answer [request host1 {STMT db1 payment "put x 1" TRACE seen-1}]
    expect {[lrange $answer 0 1] eq {done x=1} &&
        [lindex $answer 3] eq "seen-1"} $answer
    lassign [run_tool trace seen-1] code output
    expect {$code == 0} $output
    foreach hop {entry queue endpoint confirm} {
        expect {[regexp -line "^host\\d +$hop " $output]} $output
    }
    lassign [run_tool --json trace seen-1] code output
    expect {[llength [json::json2dict $output]] == 4} $output
    lassign [run_tool trace unseen] code output
    expect {$code == 65} $output
    lassign [run_tool explain db1] code output
    expect {[regexp -line {^primary +db1-a$} $output]} $output
    expect {[regexp -line {^decision\.0 } $output]} $output
    lassign [run_tool --json explain db1] code output
    expect {[dict get [json::json2dict $output] primary] eq "db1-a"} $output
    lassign [run_tool explain nothing] code output
    expect {$code == 65} $output
    lassign [run_tool --json status] code output
    expect {[dict get [json::json2dict $output] configuration] == 1} $output
    lassign [run_tool counters] code output
    expect {[regexp -line {^carobwind_requests_total \d+$} $output]} $output
    lassign [run_tool --json counters] code output
    expect {[dict exists [json::json2dict $output] \
        carobwind_requests_total]} $output
    lassign [run_tool show] code output
    expect {[string match "# version 1\n*database db1*" $output]} $output
    lassign [run_command [file join $fleet::bin carobwindctl] \
        --host=127.0.0.1:1 status] code output
    expect {$code == 75} "$code $output"
}

scenario settings-checked \
    "the daemon reports all invalid settings; --help and --version work" {
    fleet -start 0
    lassign [run_command env CAROBWIND_DRAIN_SECONDS=never \
        [file join $fleet::bin carobwindd] --callers=nowhere \
        --queue-policy=lifo --log-level=loud] code output
    expect {$code == 64} $output
    foreach part {CAROBWIND_DRAIN_SECONDS --name --data-centre --callers
            --queue-policy --log-level} {
        expect {[string first $part $output] >= 0} "$part not in $output"
    }
    foreach program {carobwindd carobwindctl carobwind-endpoint
            carobwind-platform carobwind-bench} {
        lassign [run_command [file join $fleet::bin $program] --help] code output
        expect {$code == 0 && [string match "Usage: $program*" $output]} $output
        lassign [run_command [file join $fleet::bin $program] --version] code \
            output
        expect {$code == 0 && [string match "$program *" $output]} $output
    }
}
