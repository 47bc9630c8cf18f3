package kit2

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"
)

// Stay is one of a number of clients that announce a body, stop in the middle of it and stay. When it is sent away it comes
// again, until ctx ends.
func Stay(ctx context.Context, listen, class string, number, of, bodyBytes int) {
	buf := make([]byte, 4096)
	half := strings.Repeat("z", bodyBytes/2)
	time.Sleep(time.Duration(number) * 2500 * time.Millisecond / time.Duration(of)) // not all in one moment
	for i := 0; ctx.Err() == nil; i++ {
		conn, err := net.DialTimeout("tcp", listen, time.Second)
		if err == nil {
			conn.SetDeadline(time.Now().Add(4 * time.Second))
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			_, err = fmt.Fprintf(conn, "POST /%s/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: bad-%d-%d\r\nX-Service-Class: %s\r\nX-Time-Left-Ms: 2000\r\nContent-Length: %d\r\n\r\n%s",
				class, number, i, class, bodyBytes, half)
			for err == nil {
				_, err = conn.Read(buf)
			}
			stop()
			conn.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
}
