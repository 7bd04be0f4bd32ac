package decision

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// encodeAction encodes an action with all its fields, under names that do not depend on the Go
// identifiers: renaming these must not change a fingerprint (see fingerprint_test.go).
// TestEncodingKnowsEveryField checks that no field is left out.
func encodeAction(action Action) string {
	switch a := action.(type) {
	case StartAttempt:
		return fmt.Sprintf("send request=%d backend=%d timeout=%d not_after=%d",
			a.Request, a.Backend, a.Timeout, a.NotAfter)
	case Reject:
		return fmt.Sprintf("refuse request=%d retry_after=%d reason=%d", a.Request, a.RetryAfter, uint8(a.Reason))
	case Fail:
		return fmt.Sprintf("fail request=%d", a.Request)
	case CancelAttempt:
		return fmt.Sprintf("cancel request=%d attempt=%d", a.Request, a.Attempt)
	case SetTimer:
		return fmt.Sprintf("set_timer after=%d token=%d request=%d", a.After, a.Token, a.Request)
	case Probe:
		return fmt.Sprintf("probe backend=%d", a.Backend)
	case CounterAdd:
		return fmt.Sprintf("count ref=%d name=%d amount=%v keep=%d", a.Ref, a.Key, a.Amount, a.TTL)
	case Subscribe:
		return "subscribe"
	}
	panic(fmt.Sprintf("encodeAction: unknown action type %T", action))
}

// If the encoding left out an action or a field, two engines that differ only in it would have
// equal fingerprints. So each type that the package declares as an action must be encoded, with
// each field exactly once, and a change of any field must change the encoding.
func TestEncodingKnowsEveryField(t *testing.T) {
	declared := declaredActions(t)
	encoded, kinds := map[string]bool{}, map[string]bool{}
	for _, zero := range []Action{StartAttempt{}, Reject{}, Fail{}, CancelAttempt{}, SetTimer{}, Probe{},
		CounterAdd{}, Subscribe{}} {
		typ := reflect.TypeOf(zero)
		encoded[typ.Name()] = true
		text := encodeAction(zero)
		kind, _, _ := strings.Cut(text, " ")
		if kinds[kind] {
			t.Errorf("two action types are encoded as %q", kind)
		}
		kinds[kind] = true
		if got := strings.Count(text, "="); got != typ.NumField() {
			t.Errorf("%s: %d fields are encoded, want %d: %s", typ, got, typ.NumField(), text)
		}
		for i := range typ.NumField() {
			changed := reflect.New(typ).Elem()
			setToOne(t, changed.Field(i))
			if encodeAction(changed.Interface().(Action)) == text {
				t.Errorf("field %s of %s is not encoded", typ.Field(i).Name, typ)
			}
		}
	}
	if !maps.Equal(declared, encoded) {
		t.Errorf("the package declares the actions %v, this test encodes %v",
			slices.Sorted(maps.Keys(declared)), slices.Sorted(maps.Keys(encoded)))
	}
}

// declaredActions returns the names of the types with a method isAction, from the source of the
// package.
func declaredActions(t *testing.T) map[string]bool {
	t.Helper()
	paths, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range file.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Name.Name == "isAction" && f.Recv != nil {
				names[f.Recv.List[0].Type.(*ast.Ident).Name] = true
			}
		}
	}
	return names
}

func setToOne(t *testing.T, field reflect.Value) {
	t.Helper()
	switch {
	case field.CanInt():
		field.SetInt(1)
	case field.CanUint():
		field.SetUint(1)
	case field.CanFloat():
		field.SetFloat(1)
	default:
		t.Fatalf("setToOne: unsupported field type %s", field.Type())
	}
}
