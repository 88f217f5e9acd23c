// Package earlysignal keeps a SIGHUP from ending a process that has just started. A
// program imports it for its effect: a C constructor ignores SIGHUP before the Go runtime
// starts. The runtime leaves an ignored SIGHUP ignored until signal.Notify. A reload that
// is requested before that is needless, since the settings have not been read.
//
// Left is the time that the dynamic loader takes from exec to the constructors. Without
// cgo the package has no effect.
package earlysignal
