package drnet

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Reservation keeps a TCP port for a listener that is opened later, also in
// another process and also repeatedly. While it is open, the kernel gives the
// port to nobody who asks for any free one.
type Reservation struct {
	fd      int
	address netip.AddrPort
}

// Reserve reserves a free port of an IPv4 address. Listeners must set
// SO_REUSEADDR to share the port with the reservation, as package net does.
func Reserve(ip string) (*Reservation, error) {
	addr, err := netip.ParseAddr(ip)
	if err != nil || !addr.Is4() {
		return nil, fmt.Errorf("reserve a port: %q is not an IPv4 address", ip)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserve a port of %s: %w", ip, err)
	}
	r := &Reservation{fd: fd}
	if r.address, err = bindAnyPort(fd, addr); err != nil {
		_ = unix.Close(fd)
		return nil, fmt.Errorf("reserve a port of %s: %w", ip, err)
	}
	return r, nil
}

// bindAnyPort binds a socket, which is not listened on, to a port that the
// kernel chooses.
func bindAnyPort(fd int, addr netip.Addr) (netip.AddrPort, error) {
	// Without the option now, the kernel would let others bind the port too;
	// with it only afterwards, it chooses a port that nobody else has.
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: addr.As4()}); err != nil {
		return netip.AddrPort{}, err
	}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return netip.AddrPort{}, err
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return netip.AddrPortFrom(addr, uint16(name.(*unix.SockaddrInet4).Port)), nil
}

// Address returns the reserved address as "ip:port".
func (r *Reservation) Address() string { return r.address.String() }

// Close gives the port back. Listeners on it stay open.
func (r *Reservation) Close() error { return unix.Close(r.fd) }
