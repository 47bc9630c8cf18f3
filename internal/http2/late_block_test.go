package http2

import "testing"

// TestFieldBlockAfterTimeout checks that a field block that ends after its stream got a 408 opens
// nothing: its request was answered, and must not be sent on.
func TestFieldBlockAfterTimeout(t *testing.T) {
	late := `
		wait 2500ms
		c expect head 1 408 end
		c expect rst 1 NO_ERROR
	`
	next := `{post 3 e}
		d expect opened 3 POST /photo/1 x-correlation-id=r3
		d expect whole 3`
	playAll(t, []script{
		{"a req that is whole with it", handshake + `
			c send {head 1 eo :method=POST :scheme=http}` + late + `
			c send {more 1 x :path=/photo/2}` + next},
		{"one whose body is to come", handshake + `
			c send {head 1 o :method=POST :scheme=http}` + late + `
			c send {more 1 x :path=/photo/2}{data 1 e photo}` + next},
		{"a long list, which is held", handshake + `
			c send {head 1 eo :method=POST :scheme=http :path=/{{1500*a}}}` + late + `
			c send {more 1 x x-repeat=1}` + next},
		{"a list that is too long", handshake + `
			c send {head 1 eo :method=POST :scheme=http :path=/{{1500*a}}}` + late + `
			c send {more 1 x x={{900*a}}}` + next},
		{"one that is malformed", handshake + `
			c send {head 1 eo :method=POST :scheme=http}` + late + `
			c send {more 1 x connection=close}` + next},
		{"trailers", handshake + `
			c send {post 1 x}{head 1 eo x-sum=1}
			d expect opened 1 POST /photo/1 x-correlation-id=r1
			wait 2500ms
			d expect dropped 1
			c expect head 1 408 end
			c expect rst 1 NO_ERROR
			c send {more 1 x x-more=1}` + next},
	}, nil)
}
