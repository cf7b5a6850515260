Feature: entries hear which engine has a copy of an adapter

  Scenario: an adapter that was loaded and unloaded between two of its engine's records
    Symptom: a third of the fetches from the weight store are of adapters that another engine has a copy of.
    Events: an adapter is loaded, used for half a second and unloaded; a second later it is asked for through another entry.
    Cause: only the engine's record in the store told what it had held, and it is written once a second.
    Then an entry that asks often enough hears of every load once, however asks and loads mix
    And an entry that has heard a former holder of the engine hears what the next one has loaded
