/**
 * gRPC settings that both ends of a channel share.
 */

const maxMessageBytes = 64 << 20
const keepaliveMs = 10_000
/**
 * With HTTP/2's default window of 64 KB a busy event loop transfers one window per turn, about
 * 3 MB/s, while a channel carries up to 12 MB/s. The credit of each request already bounds the
 * data in flight, so the window does not have to.
 */
const flowControlWindow = 4 << 20

/**
 * Retries and service config are disabled: only the entry retries, since it knows which
 * requests may run twice.
 */
export const channelOptions = {
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.max_receive_message_length': maxMessageBytes,
  'grpc.max_send_message_length': maxMessageBytes,
  'grpc.keepalive_time_ms': keepaliveMs,
  'grpc-node.flow_control_window': flowControlWindow,
  'grpc.use_local_subchannel_pool': 1
} as const
