/* Version of all programs of the package, as --version prints it. */
#ifndef CAROBWIND_SHARE_VERSION_H
#define CAROBWIND_SHARE_VERSION_H

#define CbwVersion_STRING "0.1.0"

#endif
