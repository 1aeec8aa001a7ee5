import { type CancellationToken } from '../base/cancellation.js';
import { TargetFailedError } from '../base/errors.js';
import { type Chunk, type DispatchRequest } from '../gen/cicadatide/v1/agent_pb.js';
import { type AgentClient, type PeerConnection } from '../ports/agents.js';

/** Fields of a dispatch as an entry fills them. */
export type DispatchInit = Omit<DispatchRequest, '$typeName' | '$unknown'>;

/**
 * Dispatches one attempt and yields its chunks in order, each once. Chunks of other requests or
 * attempts are dropped. Throws TargetFailedError when the stream ends without a terminal chunk.
 */
export async function* streamAttempt(
  connection: PeerConnection<AgentClient>,
  init: DispatchInit,
  token: CancellationToken,
): AsyncGenerator<Chunk> {
  let lastSeq = 0;
  const stream = connection.client.dispatch(init, { signal: token.signal });
  for await (const chunk of stream) {
    if (chunk.requestId !== init.requestId || chunk.attempt !== init.attempt) continue;
    if (chunk.seq <= lastSeq) continue;
    if (chunk.seq !== lastSeq + 1) throw new TargetFailedError('chunk is missing in the stream');
    lastSeq = chunk.seq;
    yield chunk;
    if (chunk.part.case === 'end' || chunk.part.case === 'failure') return;
  }
  throw new TargetFailedError('stream of the agent ended without its terminal chunk');
}
