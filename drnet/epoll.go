package drnet

import (
	"reflect"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// readEvents are the epoll events for which gnet registers a socket that it
// reads.
const readEvents = unix.EPOLLIN | unix.EPOLLPRI

// epollFDOf returns the epoll descriptor of the connection's event loop, or -1
// if gnet's private fields do not have the expected names. The descriptor is
// needed to pause reading, which gnet does not offer: it appends data that its
// handler leaves to an unbounded buffer. TestSlowReader fails if an update of
// gnet moves the field.
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

// setEvents changes the events for which the event loop watches fd. epoll always
// reports errors and the closing of both directions, whatever events holds.
func setEvents(epollFD, fd int, events uint32) error {
	return unix.EpollCtl(epollFD, unix.EPOLL_CTL_MOD, fd, &unix.EpollEvent{Fd: int32(fd), Events: events})
}

// peerClosed reports whether the peer has closed its side of the socket fd, or
// the socket has failed. It does not block.
func peerClosed(fd int) bool { return hasEvent(fd, unix.POLLRDHUP) }

// hasInput reports whether data or the end of the connection can be read from the socket fd.
// It does not block.
func hasInput(fd int) bool { return hasEvent(fd, unix.POLLIN) }

// hasEvent reports whether one of the poll events, an error or a hang-up is pending at fd.
func hasEvent(fd int, events int16) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}
