package kernel

import (
	"io"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestResolveFindsServicesByType(t *testing.T) {
	ctx := &Context{services: map[reflect.Type]any{}}
	Provide[io.Reader](ctx, strings.NewReader("x"))
	var reader io.Reader
	assert.NilError(t, Resolve(ctx, &reader))
	assert.Assert(t, reader != nil)
	var writer io.Writer
	assert.ErrorContains(t, Resolve(ctx, &reader, &writer), "no module provides io.Writer")
}
