// Command wiregen generates the Go code of a .proto file next to it. It compiles
// the file itself, so that no protoc has to be installed, and runs protoc-gen-go.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: wiregen PROTOC-GEN-GO FILE.proto")
		os.Exit(2)
	}
	if err := generate(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "wiregen:", err)
		os.Exit(1)
	}
}

// generate writes the Go code of the .proto file at path with the given plugin.
func generate(plugin, path string) error {
	dir, name := filepath.Split(path)
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{filepath.Clean("./" + dir)}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), name)
	if err != nil {
		return err
	}
	request, err := proto.Marshal(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{name}, Parameter: proto.String("paths=source_relative"),
		ProtoFile: []*descriptorpb.FileDescriptorProto{protoutil.ProtoFromFileDescriptor(files[0])},
	})
	if err != nil {
		return err
	}
	cmd := exec.Command(plugin)
	cmd.Stdin, cmd.Stderr = bytes.NewReader(request), os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return err
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(out, &response); err != nil {
		return err
	}
	if response.Error != nil {
		return errors.New(response.GetError())
	}
	for _, f := range response.File {
		if err := os.WriteFile(filepath.Join(dir, f.GetName()), []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
