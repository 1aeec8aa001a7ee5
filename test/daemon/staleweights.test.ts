import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  chunk,
  type RawSite,
  type Respond,
  startRawSite,
  streamHead,
} from '../standins/platform/rawsite.js';

const events = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

const rest = 'id: 3\ndata: c\n\n';

let site: RawSite;

beforeEach(async () => {
  site = await startRawSite();
});

afterEach(() => site.close());

/** Sends a stream that may run once, whose engine is lost after these bytes. */
async function sendLostStream(bytes: string) {
  const respond: Respond = (socket, req) => {
    if (req.lastEventId !== undefined) {
      socket.write(streamHead(req) + chunk(rest) + chunk(''));
      return;
    }
    socket.write(streamHead(req) + chunk(bytes));
    setTimeout(() => socket.resetAndDestroy(), 20);
  };
  await site.start('llm', respond, respond);
  const { body, isComplete } = await site.send('reply');
  const requests = site.targets.flatMap((target) => target.requests).length;
  return { body, isComplete, requests };
}

describe('a stream that may run once and whose engine is lost', () => {
  it('goes on from the copy when it ran with the same weights all the while', async () => {
    const sent = await sendLostStream(events);
    expect(sent).toEqual({ body: events + rest, isComplete: true, requests: 2 });
  });

  // Guards against a copy that was made with other weights than those of the engine that goes on.
  it.each([
    ['an event names new weights', `x-weight-versions: 2\n${events}`, true],
    ['the weights changed twice', `x-weight-versions: 2\n${events}x-weight-versions: 1\n`, true],
    ['the version is cut off', `${events}x-weight-versions: 1`, false],
    ['the name of the version is cut off', `${events}x-wei`, false],
    ['the version can not be read', `x-weight-versions: new\n${events}`, true],
  ])('does not go on when %s', async (_name, bytes, isWhole) => {
    const { body, isComplete, requests } = await sendLostStream(bytes);
    const passedOn = isWhole ? bytes.slice(0, bytes.lastIndexOf('\n\n') + 2) : events;
    expect({ body, isComplete, requests }).toEqual({
      body: passedOn,
      isComplete: false,
      requests: 1,
    });
  });
});
