//go:build review

package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// cutProxy is a TCP proxy that can drop everything, as a partition does.
type cutProxy struct {
	target string
	cut    atomic.Bool
	mu     sync.Mutex
	conns  []net.Conn
}

func (cp *cutProxy) start() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go cp.forward(nc)
		}
	}()
	return ln.Addr().String(), nil
}

// forward copies both directions until one side closes the connection.
func (cp *cutProxy) forward(from net.Conn) {
	cp.mu.Lock()
	cp.conns = append(cp.conns, from)
	cp.mu.Unlock()
	defer from.Close()
	to, err := net.Dial("tcp", cp.target)
	if err != nil {
		return
	}
	defer to.Close()
	done := make(chan struct{}, 2)
	go func() { cp.copy(to, from); done <- struct{}{} }()
	go func() { cp.copy(from, to); done <- struct{}{} }()
	<-done
}

// copy copies one direction. It drops what arrives during a partition.
func (cp *cutProxy) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		num, err := from.Read(buf)
		if err != nil {
			return
		}
		if cp.cut.Load() {
			continue
		}
		if _, err := to.Write(buf[:num]); err != nil {
			return
		}
	}
}

// heal ends a partition. The connections that were open in it are gone.
func (cp *cutProxy) heal() {
	cp.cut.Store(false)
	cp.mu.Lock()
	defer cp.mu.Unlock()
	for _, nc := range cp.conns {
		nc.Close()
	}
	cp.conns = nil
}
