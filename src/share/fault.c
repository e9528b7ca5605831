#include "share/fault.h"

#include <stdio.h>
#include <string.h>

#include "share/net.h"

#define RULES_MAX 64

typedef struct {
    char ip[CbwNet_IP_MAX];
    unsigned directions;
} cut_rule_t;

typedef struct {
    char ip[CbwNet_IP_MAX]; /* or "all" */
    unsigned sequence;      /* number of the `silence` command, from 1 */
} silence_rule_t;

static bool enabled;
static cut_rule_t cuts[RULES_MAX];
static int cut_count;
static silence_rule_t silences[RULES_MAX];
static int silence_rule_count;
static unsigned silence_command_count; /* not reduced by `heal` */

void
CbwFault_Enable(void)
{
    enabled = true;
}

bool
CbwFault_IsCut(const char *ip, cbw_fault_direction_t direction)
{
    for (int i = 0; i < cut_count; i++) {
        if ((cuts[i].directions & direction) && strcmp(cuts[i].ip, ip) == 0) {
            return true;
        }
    }
    return false;
}

unsigned
CbwFault_SilenceCount(void)
{
    return silence_command_count;
}

bool
CbwFault_IsSilenced(const char *ip, unsigned count)
{
    for (int i = 0; i < silence_rule_count; i++) {
        if (silences[i].sequence > count &&
            (strcmp(silences[i].ip, "all") == 0 ||
             strcmp(silences[i].ip, ip) == 0)) {
            return true;
        }
    }
    return false;
}

static unsigned
parse_directions(const char *word)
{
    if (strcmp(word, "in") == 0) {
        return CBW_FAULT_IN;
    }
    if (strcmp(word, "out") == 0) {
        return CBW_FAULT_OUT;
    }
    return strcmp(word, "both") == 0 ? CBW_FAULT_IN | CBW_FAULT_OUT : 0;
}

static int
add_cut(const char *ip, const char *directions)
{
    unsigned mask = parse_directions(directions);

    if (mask == 0 || cut_count == RULES_MAX) {
        return -1;
    }
    snprintf(cuts[cut_count].ip, CbwNet_IP_MAX, "%s", ip);
    cuts[cut_count++].directions = mask;
    return 0;
}

static int
add_silence(const char *ip)
{
    if (silence_rule_count == RULES_MAX) {
        return -1;
    }
    snprintf(silences[silence_rule_count].ip, CbwNet_IP_MAX, "%s", ip);
    silences[silence_rule_count++].sequence = ++silence_command_count;
    return 0;
}

int
CbwFault_Command(int count, char *const *words)
{
    if (!enabled || count < 1) {
        return -1;
    }
    if (count == 3 && strcmp(words[0], "cut") == 0) {
        return add_cut(words[1], words[2]);
    }
    if (count == 2 && strcmp(words[0], "silence") == 0) {
        return add_silence(words[1]);
    }
    if (count == 1 && strcmp(words[0], "heal") == 0) {
        cut_count = 0;
        return 0;
    }
    return -1;
}
