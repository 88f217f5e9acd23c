package bench

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of times in /proc/<pid>/stat, 1/sysconf(_SC_CLK_TCK) s.
const clockTick = 10 * time.Millisecond

// CPUTime returns the CPU time used by a process, with a resolution of 10 ms.
func CPUTime(pid int) time.Duration {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The second field is the name in parentheses, which may contain spaces.
	fields := bytes.Fields(content[bytes.LastIndexByte(content, ')')+1:])
	user, _ := strconv.Atoi(string(fields[11]))
	system, _ := strconv.Atoi(string(fields[12]))
	return time.Duration(user+system) * clockTick
}

// ResidentMemory returns the current and peak resident set size of a process in
// bytes.
func ResidentMemory(pid int) (current, peak int64) {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kib, _ := strconv.ParseInt(fields[1], 10, 64)
		switch fields[0] {
		case "VmRSS:":
			current = kib << 10
		case "VmHWM:":
			peak = kib << 10
		}
	}
	return current, peak
}

// ResetPeakMemory resets the peak returned by ResidentMemory to the current size.
func ResetPeakMemory(pid int) error {
	return os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte("5"), 0)
}

// Sockets maps the inode of each established TCP connection on the machine to
// its local and remote addresses.
type Sockets map[string][2]string

// stateEstablished is TCP_ESTABLISHED as /proc/net/tcp shows it.
const stateEstablished = "01"

// ReadSockets reads the established TCP connections over IPv4 and IPv6.
func ReadSockets() Sockets {
	sockets := Sockets{}
	for _, path := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		content, _ := os.ReadFile(path)
		for line := range strings.Lines(string(content)) {
			fields := strings.Fields(line)
			if len(fields) > 9 && fields[3] == stateEstablished {
				sockets[fields[9]] = [2]string{decodeAddress(fields[1]), decodeAddress(fields[2])}
			}
		}
	}
	return sockets
}

// decodeAddress decodes the hexadecimal notation of /proc/net/tcp. It takes the
// last four bytes of an IPv6 address, which is an IPv4-mapped one here.
func decodeAddress(hexadecimal string) string {
	host, port, _ := strings.Cut(hexadecimal, ":")
	host = host[len(host)-8:]
	ip, _ := strconv.ParseUint(host, 16, 32)
	number, _ := strconv.ParseUint(port, 16, 16)
	return fmt.Sprintf("%d.%d.%d.%d:%d", byte(ip), byte(ip>>8), byte(ip>>16), byte(ip>>24), number)
}

// OfProcess returns the local and remote addresses of a process's connections.
func (s Sockets) OfProcess(pid int) [][2]string {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(dir)
	var connections [][2]string
	for _, entry := range entries {
		target, _ := os.Readlink(dir + "/" + entry.Name())
		inode, ok := strings.CutPrefix(target, "socket:[")
		if c, open := s[strings.TrimSuffix(inode, "]")]; ok && open {
			connections = append(connections, c)
		}
	}
	return connections
}
