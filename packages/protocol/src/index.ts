/** Messages between nodes, generated from `proto/`. */
export * from './gen/lentillb/mesh/v1/mesh_pb.js';
