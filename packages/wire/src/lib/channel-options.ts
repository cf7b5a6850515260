/**
 * gRPC settings that both ends of a channel share.
 */

const maxMessageBytes = 64 << 20
const keepaliveMs = 10_000
/**
 * HTTP/2's default window of 64 KB passes one window in each turn of a busy event
 * loop, about 3 MB/s, while a channel at its peak carries 12 MB/s. Credits for each
 * request bound what is on its way, so the window need not.
 */
const flowControlWindow = 4 << 20

/**
 * Retries and service config are off: one layer retries, and that is the entry, which
 * knows what may run twice.
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
