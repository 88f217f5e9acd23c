package bench

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// tick is the unit of times in /proc/<pid>/stat (sysconf(_SC_CLK_TCK)).
const tick = 10 * time.Millisecond

// CPU returns the processor time that a process has used, to 10 ms.
func CPU(pid int) time.Duration {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The second field is the name in parentheses, which may hold blanks.
	fields := bytes.Fields(content[bytes.LastIndexByte(content, ')')+1:])
	user, _ := strconv.Atoi(string(fields[11]))
	system, _ := strconv.Atoi(string(fields[12]))
	return time.Duration(user+system) * tick
}

// Resident returns the resident memory of a process in bytes, now and at its peak.
func Resident(pid int) (now, peak int64) {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kib, _ := strconv.ParseInt(fields[1], 10, 64)
		switch fields[0] {
		case "VmRSS:":
			now = kib << 10
		case "VmHWM:":
			peak = kib << 10
		}
	}
	return now, peak
}

// ResetPeak makes the peak of Resident count from now on.
func ResetPeak(pid int) error {
	return os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte("5"), 0)
}

// Sockets maps the inode of each established TCP connection of the machine to
// its local and remote address.
type Sockets map[string][2]string

const established = "01"

// ReadSockets reads the established TCP connections over IPv4 and IPv6.
func ReadSockets() Sockets {
	all := Sockets{}
	for _, path := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		content, _ := os.ReadFile(path)
		for line := range strings.Lines(string(content)) {
			fields := strings.Fields(line)
			if len(fields) > 9 && fields[3] == established {
				all[fields[9]] = [2]string{address(fields[1]), address(fields[2])}
			}
		}
	}
	return all
}

// address decodes the hexadecimal notation of /proc/net/tcp. Of an IPv6
// address, which holds an IPv4 one here, the last four bytes are taken.
func address(hexadecimal string) string {
	host, port, _ := strings.Cut(hexadecimal, ":")
	host = host[len(host)-8:]
	ip, _ := strconv.ParseUint(host, 16, 32)
	number, _ := strconv.ParseUint(port, 16, 16)
	return fmt.Sprintf("%d.%d.%d.%d:%d", byte(ip), byte(ip>>8), byte(ip>>16), byte(ip>>24), number)
}

// Of returns the connections that a process holds.
func (s Sockets) Of(pid int) [][2]string {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(dir)
	var held [][2]string
	for _, entry := range entries {
		target, _ := os.Readlink(dir + "/" + entry.Name())
		inode, ok := strings.CutPrefix(target, "socket:[")
		if c, open := s[strings.TrimSuffix(inode, "]")]; ok && open {
			held = append(held, c)
		}
	}
	return held
}
