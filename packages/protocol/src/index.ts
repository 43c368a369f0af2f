export * from './generated/zincring/peer/v1/peer_pb.js';
export * from './generated/zincring/operator/v1/operator_pb.js';
