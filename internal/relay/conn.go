package relay

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
)

// What an endpoint sends is framed on its way from the relaying daemon: a length of two bytes, then
// that many bytes. The length 0 is the end that the endpoint itself has sent. Without it, a
// response that ends with its connection would look complete if the relaying daemon is killed.

// maxFrame is the largest frame, in bytes; a few events of a stream fit.
const maxFrame = 8 << 10

// frameHeaderSize is in bytes.
const frameHeaderSize = 2

// copyFrames writes what it reads as frames until the end of what src sends.
func copyFrames(dst io.Writer, src io.Reader) error {
	buf := make([]byte, frameHeaderSize+maxFrame)
	for {
		num, err := src.Read(buf[frameHeaderSize:])
		if num > 0 {
			binary.BigEndian.PutUint16(buf, uint16(num))
			if _, err := dst.Write(buf[:frameHeaderSize+num]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			_, err := dst.Write(make([]byte, frameHeaderSize))
			return err
		}
		if err != nil {
			return err
		}
	}
}

// conn is a connection to an endpoint through another daemon. It reads frames and writes bytes as
// they are. It is used for one exchange: whether bytes of an earlier response are on their way can't
// be known.
type conn struct {
	net.Conn
	br *bufio.Reader
	// left is the number of bytes left of the current frame; ended is set after the last one.
	left  int
	ended bool
	// onClose is called once.
	onClose   func()
	closeOnce sync.Once
}

// Read implements net.Conn. It returns io.EOF only if the endpoint has closed the connection.
func (cn *conn) Read(buf []byte) (int, error) {
	if cn.left == 0 && !cn.ended {
		if err := cn.nextFrame(); err != nil {
			return 0, err
		}
	}
	if cn.ended {
		return 0, io.EOF
	}
	num, err := cn.br.Read(buf[:min(len(buf), cn.left)])
	cn.left -= num
	return num, truncated(err)
}

// nextFrame reads the header of the next frame.
func (cn *conn) nextFrame() error {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(cn.br, header[:]); err != nil {
		return truncated(err)
	}
	cn.left = int(binary.BigEndian.Uint16(header[:]))
	cn.ended = cn.left == 0
	return nil
}

// truncated replaces io.EOF: the connection ended before the endpoint did.
func truncated(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Close implements net.Conn.
func (cn *conn) Close() error {
	cn.closeOnce.Do(cn.onClose)
	return cn.Conn.Close()
}
