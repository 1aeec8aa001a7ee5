import { type Logger } from '../base/logging.js';
import { type RowFeedPort } from '../ports/rows.js';
import { type SiteDecoder } from '../ports/site.js';
import { type TablePort } from '../ports/table.js';
import { type CacheReader, type EngineControl, type WireProtocol } from '../ports/wire.js';
import { type GatewaySettings } from './settings/read.js';

/** The platform that a gateway runs on. */
export interface GatewayPlatform {
  readonly decoder: SiteDecoder;
  readonly protocol: WireProtocol;
  readonly store: TablePort & RowFeedPort & { readonly ownTable: string };
  readonly control: EngineControl;
  readonly cacheReader: CacheReader;
  /** Path at which the platform asks whether this process takes new connections. */
  readonly readyPath: string;
}

export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly platform: GatewayPlatform;
  readonly log: Logger;
  droppedLogLines(): number;
}
