Feature: how a configuration reaches all entries

  Scenario: large configurations, slow links and a few entries with faults
    Guards against entries in touch with the store that are late with a change, since a watcher of theirs is slow, frozen or cut off, or lists
    the store itself.
    Then in 25 simulations of 22 entries, of which up to 3 are frozen or cut off, each entry in touch has each version within 3000 ms

  Scenario: a few entries, each of which watches the store
    Guards against entries that fall behind for as long as changes come faster than their links carry every version.
    Then in 25 simulations of 5 entries, of which up to 1 are frozen or cut off, each entry in touch has each version within 3000 ms
