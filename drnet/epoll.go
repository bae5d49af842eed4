package drnet

import (
	"reflect"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// readEvents is the set under which gnet registers a socket for reading.
const readEvents = unix.EPOLLIN | unix.EPOLLPRI

// epollFDOf returns the epoll descriptor of the connection's event loop, or -1
// if this version of gnet keeps it elsewhere. gnet cannot pause reading: data
// that its handler leaves is appended to an unbounded buffer. TestSlowReader
// fails if an update of gnet moves the field.
func epollFDOf(gnetConn gnet.Conn) int {
	value := reflect.ValueOf(gnetConn)
	for _, name := range []string{"loop", "poller", "fd"} {
		if value.Kind() != reflect.Pointer || value.IsNil() || value.Elem().Kind() != reflect.Struct {
			return -1
		}
		if value = value.Elem().FieldByName(name); !value.IsValid() {
			return -1
		}
	}
	if !value.CanInt() {
		return -1
	}
	return int(value.Int())
}

// setEvents changes the events for which the event loop watches fd. Errors
// and hang-ups in both directions are always reported.
func setEvents(epollFD, fd int, events uint32) error {
	return unix.EpollCtl(epollFD, unix.EPOLL_CTL_MOD, fd, &unix.EpollEvent{Fd: int32(fd), Events: events})
}

// peerClosed reports whether the peer has closed its side of the socket fd.
func peerClosed(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}
