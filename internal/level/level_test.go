package level

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/state"
)

// formats returns the types that builds exchange or store, by name. Types that these contain are
// not listed.
func formats() map[string]any {
	return map[string]any{
		"request": coordapi.Request{}, "reply": coordapi.Reply{}, "consensus": coordapi.Consensus{}, "whole": coordapi.FullView{},
		"rows": []state.Backend{}, "loads": []coordapi.Load{}, "command": state.Command{}, "deployment": state.Deployment{},
		"entry": raft.Entry{}, "hard-state": raft.HardState{}, "snapshot": raft.Snapshot{},
	}
}

// shape appends a line for each field of a type: its path by JSON names, and its kind.
func shape(lines []string, path string, t reflect.Type, enclosing []reflect.Type) []string {
	if slices.Contains(enclosing, t) {
		return append(lines, path+" again "+t.String())
	}
	enclosing = append(enclosing, t)
	switch {
	case t == reflect.TypeFor[json.RawMessage]():
		return append(lines, path+" json")
	case t.Kind() == reflect.Pointer:
		return shape(lines, path, t.Elem(), enclosing)
	case t.Kind() == reflect.Slice || t.Kind() == reflect.Array:
		return shape(lines, path+"[]", t.Elem(), enclosing)
	case t.Kind() == reflect.Map:
		return shape(lines, path+"{"+t.Key().Kind().String()+"}", t.Elem(), enclosing)
	case t.Kind() != reflect.Struct:
		return append(lines, path+" "+t.Kind().String())
	}
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		switch {
		case !field.IsExported() && !field.Anonymous, name == "-":
		case field.Anonymous && name == "":
			lines = shape(lines, path, field.Type, enclosing)
		default:
			lines = shape(lines, path+"."+name, field.Type, enclosing)
		}
	}
	return lines
}

func shapes() []string {
	var lines []string
	for name, format := range formats() {
		lines = shape(lines, name, reflect.TypeOf(format), nil)
	}
	slices.Sort(lines)
	return lines
}

func shapeFile(l Level) string { return filepath.Join("testdata", fmt.Sprintf("level-%d.shape", l)) }

func readShape(t *testing.T, l Level) []string {
	t.Helper()
	text, err := os.ReadFile(shapeFile(l))
	assert.NilError(t, err)
	return strings.Split(strings.TrimSpace(string(text)), "\n")
}

// Fails if a type that builds exchange or store has changed without a new level. To add a level,
// raise Current, document what the level adds, and write its files with WRITE_LEVEL=1. Files of
// released levels must not change.
func TestFormatChangeRequiresNewLevel(t *testing.T) {
	lines := shapes()
	if os.Getenv("WRITE_LEVEL") != "" {
		assert.NilError(t, os.WriteFile(shapeFile(Current), []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	}
	assert.DeepEqual(t, lines, readShape(t, Current))
}

// A field of one level must be in all later ones.
func TestFormatsOnlyGrow(t *testing.T) {
	now := shapes()
	for l := First; l < Current; l++ {
		for _, line := range readShape(t, l) {
			_, found := slices.BinarySearch(now, line)
			assert.Assert(t, found, "level %d had %s", l, line)
		}
	}
}

// fill sets a value and all that it contains to nonzero values.
func fill(v reflect.Value, depth int) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), depth+1)
	case reflect.Slice:
		if v.Type() == reflect.TypeFor[json.RawMessage]() {
			v.SetBytes([]byte(`{"a":[1]}`))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), depth+1)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), depth+1)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, depth+1)
		fill(value, depth+1)
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), depth+1)
			}
		}
	case reflect.String:
		v.SetString(fmt.Sprint("s", depth))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(1.5)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(depth + 2))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(depth + 2))
	}
}

func bytesFile(l Level, name string) string {
	return filepath.Join("testdata", fmt.Sprintf("level-%d-%s.json", l, name))
}

// The encoded values of each level decode without unknown fields and encode to the same bytes.
// WRITE_LEVEL=1 writes those of the current level.
func TestDecodeAllLevels(t *testing.T) {
	for name, format := range formats() {
		if os.Getenv("WRITE_LEVEL") != "" {
			value := reflect.New(reflect.TypeOf(format))
			fill(value.Elem(), 0)
			text, err := json.MarshalIndent(value.Interface(), "", " ")
			assert.NilError(t, err)
			assert.NilError(t, os.WriteFile(bytesFile(Current, name), append(text, '\n'), 0o600))
		}
		for l := First; l <= Current; l++ {
			text, err := os.ReadFile(bytesFile(l, name))
			assert.NilError(t, err)
			value := reflect.New(reflect.TypeOf(format))
			decoder := json.NewDecoder(bytes.NewReader(text))
			decoder.DisallowUnknownFields()
			assert.NilError(t, decoder.Decode(value.Interface()), "%s of level %d", name, l)
			again, err := json.MarshalIndent(value.Interface(), "", " ")
			assert.NilError(t, err)
			assert.Equal(t, string(again)+"\n", string(text), "%s of level %d", name, l)
		}
	}
}
