package drnet

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// acceptNow accepts a connection that waits in the listener's queue, whatever
// the listener's deadline. It returns unix.EAGAIN if there is none.
func acceptNow(listener *net.TCPListener) (net.Conn, error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd, acceptErr := -1, error(nil)
	err = raw.Control(func(listenerFD uintptr) {
		fd, _, acceptErr = unix.Accept4(int(listenerFD), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	})
	if err != nil {
		return nil, err
	}
	if acceptErr != nil {
		return nil, acceptErr
	}
	file := os.NewFile(uintptr(fd), "")
	defer file.Close()
	return net.FileConn(file) // has a descriptor of its own
}
