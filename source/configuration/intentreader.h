#pragma once

#include "snipeferry/configuration/configuration.h"
#include "snipeferry/settings/yamlreader.h"

#include <string>
#include <vector>

namespace snipeferry::configuration {

/** Reads the sections of an intent into a configuration and reports faults to the document. */
class IntentReader
{
public:
    /**
     * @param configuration the configuration that the intent is applied to; it is changed
     * @param isBaseKnown whether configuration is the actual base; if false, required values and references are not checked
     */
    IntentReader(Configuration &configuration, bool isBaseKnown);

    void read(settings::YamlMap &root);

private:
    void readRemovals(settings::YamlMap removals);
    void readRegions(settings::YamlMap regions);
    void readLinks(settings::YamlMap &root);
    void readServices(settings::YamlMap services);
    void readRoutes(settings::YamlMap routes, Service &service);
    void readCustomers(settings::YamlMap customers);
    void readKeys(settings::YamlMap &map, Customer &customer);
    std::vector<std::string> readDigests(settings::YamlMap &map, const std::string &key);
    void readRollouts(settings::YamlMap rollouts);
    void readWeights(settings::YamlMap weights);

    std::string requiredText(settings::YamlMap &map, const std::string &key, const std::string &existing) const;
    template<typename Id, typename Items>
    std::vector<Id> readReferences(settings::YamlMap &map, const std::string &key, const Items &items) const;

    Configuration &m_configuration;
    bool m_isBaseKnown;
};

} // namespace snipeferry::configuration
