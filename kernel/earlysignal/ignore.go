package earlysignal

/*
#include <signal.h>

// Priority 101 is the first one that is not reserved for the compiler.
__attribute__((constructor(101))) static void teasel_ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
