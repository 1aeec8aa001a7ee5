import { type Logger } from '../base/logging.js';
import { type ResponseMonitor } from '../base/responselimits.js';
import { type RowFeedPort } from '../ports/rows.js';
import { type SiteDecoder } from '../ports/site.js';
import { type TablePort } from '../ports/table.js';
import {
  type CacheReader,
  type EngineControl,
  type RunControl,
  type WireProtocol,
} from '../ports/wire.js';
import { type StoreEras } from '../storeera/eras.js';
import { type GatewaySettings } from './settings/read.js';

/** Platform adapters that a gateway uses. */
export interface GatewayPlatform {
  readonly decoder: SiteDecoder;
  readonly protocol: WireProtocol;
  readonly store: TablePort &
    RowFeedPort & { readonly systemTable: string; readonly eras: StoreEras };
  readonly control: EngineControl & RunControl;
  readonly cacheReader: CacheReader;
  /** Oversized responses to the calls of the adapters. */
  readonly responseMonitor: ResponseMonitor;
  /**
   * HTTP path of the platform's readiness check. A draining process responds not ready while it
   * still accepts connections.
   */
  readonly readyPath: string;
}

export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly platform: GatewayPlatform;
  readonly log: Logger;
  droppedLogLines(): number;
}
