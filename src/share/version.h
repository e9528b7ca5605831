/* The version of the programs. */
#ifndef CAROBWIND_SHARE_VERSION_H
#define CAROBWIND_SHARE_VERSION_H

#define CbwVersion_STRING "0.1.0"

#endif
