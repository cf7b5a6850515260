/**
 * `npm run settings-page`: prints docs/SETTINGS.md.
 */
import { settingsPage } from './lib/settings-page.js'

process.stdout.write(settingsPage())
