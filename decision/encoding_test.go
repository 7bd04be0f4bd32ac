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

// encodeAction writes an action with all its fields under names of its own, so that a fingerprint
// tells what a gateway does and nothing of how Go spells it. TestEncodingKnowsEveryField checks
// that nothing is left out.
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
	panic(fmt.Sprintf("an action that the encoding does not know: %T", action))
}

// Were an action or a field added that the encoding leaves out, two engines that differ in it alone
// would have one fingerprint. So each type that the package's source marks as an action is encoded,
// each field is written once, and a change of any one field changes what is written.
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
			t.Errorf("two actions are encoded as %q", kind)
		}
		kinds[kind] = true
		if got := strings.Count(text, "="); got != typ.NumField() {
			t.Errorf("%s has %d fields, %d are encoded: %s", typ, typ.NumField(), got, text)
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
		t.Errorf("the package declares the actions %v, the encoding was tried with %v",
			slices.Sorted(maps.Keys(declared)), slices.Sorted(maps.Keys(encoded)))
	}
}

// declaredActions are the names of the types that have the method isAction, by the package's
// source.
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
		t.Fatalf("a field of type %s, which the check cannot change", field.Type())
	}
}
