#include "carobwind/endpoint.h"

const char *const CbwEndpoint_VerbString[] = {
    "run",   "begin", "commit",  "rollback", "cancel",
    "state", "fence", "promote", "follow",   "stepdown",
};

const char *const CbwEndpoint_StatusString[] = {
    "ok",      "cancelled", "superseded", "notprimary", "notx",
    "full",    "failed",    "lost",       "busy",       "behind",
    "timeout", "toolarge",  "misplaced",
};
